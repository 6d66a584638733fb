// Checks the rules of maintenance against the log lines of all processes and the calls that all hosts ran.
// Does no I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "maintenance/timeline.h"

namespace lotusyard::test {

// One execution of a call at a host.
struct Execution {
  double at = 0, until = 0;  // from its arrival, and until when it may run
  std::string body;
};
using ExecutionsByHost = std::vector<std::vector<Execution>>;  // by host, in the order of arrival

constexpr double kForever = 1e18;

// A period in which operators may work on a host: from its `touch` to its `returned`.
struct ReleasePeriod {
  std::string host;
  double from = 0, to = kForever;
};

// Adds all such periods to `periods`. Returns the first violation in the order of the steps; empty if there
// is none.
inline std::string find_release_periods(const maintenance::Timeline& timeline, int max_out,
                                        std::vector<ReleasePeriod>& periods) {
  std::set<std::string> out;
  std::map<std::string, double> released_at;
  for (const auto& entry : timeline.entries) {
    if (entry.kind == "take")
      out.insert(entry.host);
    if (entry.kind == "back")
      out.erase(entry.host);
    if (static_cast<int>(out.size()) > max_out)
      return std::to_string(out.size()) + " hosts out at index " + std::to_string(entry.index);
    if (entry.kind == "touch")
      released_at[entry.host] = entry.at;
    if (entry.kind != "returned")
      continue;
    if (released_at.count(entry.host) == 0)
      return entry.host + " returned without having been out";
    periods.push_back({entry.host, released_at[entry.host], entry.at});
    released_at.erase(entry.host);
  }
  for (const auto& [host, at] : released_at)
    periods.push_back({host, at, kForever});
  return {};
}

inline std::string find_call_in_release_period(const ReleasePeriod& period,
                                               const std::vector<Execution>& executions) {
  for (const auto& execution : executions) {
    if (execution.at > period.from && execution.at < period.to)
      return period.host + " has a call " + std::to_string(execution.at - period.from) +
             " ms after it may be touched";
    if (execution.at <= period.from && execution.until > period.from)
      return period.host + " may be touched with a call there for " +
             std::to_string(execution.until - period.from) + " ms more";
  }
  return {};
}

inline std::string find_repeated_execution(const ExecutionsByHost& executions) {
  std::map<std::string, int> runs_by_record;
  for (const auto& host : executions) {
    for (const auto& execution : host) {
      if (execution.body.compare(0, 6, "record") == 0 && ++runs_by_record[execution.body] > 1)
        return execution.body + " ran twice";
    }
  }
  return {};
}

inline std::size_t index_of_host(const std::string& host, std::size_t hosts) {
  for (std::size_t i = 0; i < hosts; ++i) {
    if (host == "h" + std::to_string(i))
      return i;
  }
  return hosts;
}

// Checks all rules and returns the first violation; empty if there is none.
inline std::string violated_maintenance_rule(const std::vector<std::string>& lines,
                                             const ExecutionsByHost& executions, int max_out) {
  const auto timeline = maintenance::parse_timeline(lines);
  if (!timeline.fault.empty())
    return "members disagree: " + timeline.fault;
  std::vector<ReleasePeriod> periods;
  std::string violation = find_release_periods(timeline, max_out, periods);
  for (auto period = periods.begin(); violation.empty() && period != periods.end(); ++period)
    violation =
        find_call_in_release_period(*period, executions.at(index_of_host(period->host, executions.size())));
  return violation.empty() ? find_repeated_execution(executions) : violation;
}

}  // namespace lotusyard::test
