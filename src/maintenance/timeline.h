// A work's course, read from the lines that members write: who was out when, and what was served meanwhile.
// No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lotusyard::maintenance {

struct AppliedEntry {  // one agreed entry, as the member wrote it that applied it first
  double at = 0;       // Unix milliseconds
  std::uint64_t index = 0;
  std::string what, work, host, reason;
  std::map<std::string, double> members;  // when each applied it
};
struct Timeline {
  std::vector<AppliedEntry> entries;  // by index
  struct CallRates {
    double at = 0, asked = 0, lost = 0;  // calls a second at one member
    std::string member;
  };
  std::vector<CallRates> call_rates;  // in the order of time
  std::string fault;  // members that tell of different entries under one index; empty: none do
};

Timeline parse_timeline(const std::vector<std::string>& lines);  // what is no such line is left out
std::string render_table(const Timeline& course);
std::string render_svg(const Timeline& course);  // SVG

}  // namespace lotusyard::maintenance
