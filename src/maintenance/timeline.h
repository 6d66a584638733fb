// Reconstructs the timeline of maintenance jobs from the log lines of the members, and renders it as a table
// or a chart: which hosts were out when, and how many calls arrived and failed meanwhile. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lotusyard::maintenance {

// One entry of the replicated log, as logged by the member that applied it first.
struct AppliedEntry {
  double at = 0;  // Unix milliseconds
  std::uint64_t index = 0;
  std::string kind;  // the command's name, with " refused" appended if it had no effect
  std::string job, host, reason;
  std::map<std::string, double> members;  // when each member applied it, Unix milliseconds
};

struct Timeline {
  // Call rates of one member, in calls per second.
  struct CallRates {
    double at = 0;  // Unix milliseconds
    double received = 0;
    double failed = 0;
    std::string member;
  };
  std::vector<AppliedEntry> entries;  // ordered by index
  std::vector<CallRates> call_rates;  // ordered by time
  std::string fault;                  // set if members logged different entries for one index
};

Timeline parse_timeline(const std::vector<std::string>& lines);  // ignores unrelated lines
std::string render_table(const Timeline& timeline);              // plain text
std::string render_svg(const Timeline& timeline);                // an SVG document

}  // namespace lotusyard::maintenance
