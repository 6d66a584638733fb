// The rules that a work on machines has to keep, checked from what all processes wrote and what all hosts
// ran. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "maintenance/timeline.h"

namespace lotusyard::test {

struct Exec {
  double at = 0, until = 0;  // until when it may run
  std::string body;
};
using Executions = std::vector<std::vector<Exec>>;  // by host, in the order in which they came

constexpr double kForever = 1e18;

// While operators may have a host: from its `touch` to its `returned`.
struct TouchedSpan {
  std::string host;
  double from = 0, to = kForever;
};

// Fails with the rule that the order of the steps breaks, else gives the spans.
inline std::string touched_spans(const maintenance::Timeline& course, int most_out,
                                 std::vector<TouchedSpan>& spans) {
  std::set<std::string> out;
  std::map<std::string, double> touched;
  for (const auto& h : course.entries) {
    if (h.kind == "take")
      out.insert(h.host);
    if (h.kind == "back")
      out.erase(h.host);
    if (static_cast<int>(out.size()) > most_out)
      return std::to_string(out.size()) + " hosts out at index " + std::to_string(h.index);
    if (h.kind == "touch")
      touched[h.host] = h.at;
    if (h.kind != "returned")
      continue;
    if (touched.count(h.host) == 0)
      return h.host + " is back and was not out";
    spans.push_back({h.host, touched[h.host], h.at});
    touched.erase(h.host);
  }
  for (const auto& [host, at] : touched)
    spans.push_back({host, at, kForever});
  return {};
}

inline std::string call_at_touched_host(const TouchedSpan& span, const std::vector<Exec>& executions) {
  for (const auto& e : executions) {
    if (e.at > span.from && e.at < span.to)
      return span.host + " has a call " + std::to_string(e.at - span.from) + " ms after it may be touched";
    if (e.at <= span.from && e.until > span.from)
      return span.host + " may be touched with a call there for " + std::to_string(e.until - span.from) +
             " ms more";
  }
  return {};
}

inline std::string record_that_ran_twice(const Executions& executions) {
  std::map<std::string, int> records;
  for (const auto& host : executions) {
    for (const auto& e : host) {
      if (e.body.compare(0, 6, "record") == 0 && ++records[e.body] > 1)
        return e.body + " ran twice";
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

// Every rule, from all members' lines and all hosts' counts. Empty: none is broken.
inline std::string broken_work_rule(const std::vector<std::string>& lines, const Executions& executions,
                                    int most_out) {
  const auto course = maintenance::parse_timeline(lines);
  if (!course.fault.empty())
    return "members disagree: " + course.fault;
  std::vector<TouchedSpan> spans;
  std::string broken = touched_spans(course, most_out, spans);
  for (auto span = spans.begin(); broken.empty() && span != spans.end(); ++span)
    broken = call_at_touched_host(*span, executions.at(number_of_host(span->host, executions.size())));
  return broken.empty() ? record_that_ran_twice(executions) : broken;
}

}  // namespace lotusyard::test
