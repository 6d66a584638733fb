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
struct Exec {
  double at = 0, until = 0;  // from its arrival, and until when it may run
  std::string body;
};
using Executions = std::vector<std::vector<Exec>>;  // by host, in the order of arrival

constexpr double kForever = 1e18;

// A period in which operators may work on a host: from its `touch` to its `returned`.
struct TouchedSpan {
  std::string host;
  double from = 0, to = kForever;
};

// Adds all such periods to `spans`. Returns the first violation in the order of the steps; empty if there is
// none.
inline std::string touched_spans(const maintenance::Timeline& timeline, int most_out,
                                 std::vector<TouchedSpan>& spans) {
  std::set<std::string> out;
  std::map<std::string, double> touched;
  for (const auto& entry : timeline.entries) {
    if (entry.kind == "take")
      out.insert(entry.host);
    if (entry.kind == "back")
      out.erase(entry.host);
    if (static_cast<int>(out.size()) > most_out)
      return std::to_string(out.size()) + " hosts out at index " + std::to_string(entry.index);
    if (entry.kind == "touch")
      touched[entry.host] = entry.at;
    if (entry.kind != "returned")
      continue;
    if (touched.count(entry.host) == 0)
      return entry.host + " returned without having been out";
    spans.push_back({entry.host, touched[entry.host], entry.at});
    touched.erase(entry.host);
  }
  for (const auto& [host, at] : touched)
    spans.push_back({host, at, kForever});
  return {};
}

inline std::string call_at_touched_host(const TouchedSpan& span, const std::vector<Exec>& executions) {
  for (const auto& execution : executions) {
    if (execution.at > span.from && execution.at < span.to)
      return span.host + " has a call " + std::to_string(execution.at - span.from) +
             " ms after it may be touched";
    if (execution.at <= span.from && execution.until > span.from)
      return span.host + " may be touched with a call there for " +
             std::to_string(execution.until - span.from) + " ms more";
  }
  return {};
}

inline std::string record_that_ran_twice(const Executions& executions) {
  std::map<std::string, int> runs_by_record;
  for (const auto& host : executions) {
    for (const auto& execution : host) {
      if (execution.body.compare(0, 6, "record") == 0 && ++runs_by_record[execution.body] > 1)
        return execution.body + " ran twice";
    }
  }
  return {};
}

inline std::size_t number_of_host(const std::string& host, std::size_t hosts) {
  for (std::size_t i = 0; i < hosts; ++i) {
    if (host == "h" + std::to_string(i))
      return i;
  }
  return hosts;
}

// Checks all rules and returns the first violation; empty if there is none.
inline std::string broken_work_rule(const std::vector<std::string>& lines, const Executions& executions,
                                    int most_out) {
  const auto timeline = maintenance::parse_timeline(lines);
  if (!timeline.fault.empty())
    return "members disagree: " + timeline.fault;
  std::vector<TouchedSpan> spans;
  std::string violation = touched_spans(timeline, most_out, spans);
  for (auto span = spans.begin(); violation.empty() && span != spans.end(); ++span)
    violation = call_at_touched_host(*span, executions.at(number_of_host(span->host, executions.size())));
  return violation.empty() ? record_that_ran_twice(executions) : violation;
}

}  // namespace lotusyard::test
