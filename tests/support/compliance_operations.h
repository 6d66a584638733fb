// Operators' proposals about regimes and certificates, and queries of logs and of the calls that hosts
// received.
#pragma once

#include <set>
#include <string>

#include "support/process_harness.h"

namespace lotusyard::test {

// The proposal of a certificate of a host under the regime `export`.
inline nlohmann::json certify(const std::string& name, const std::string& host) {
  return {{"t", "certify"},
          {"certificate",
           {{"name", name},
            {"host", host},
            {"regime", "export"},
            {"from_ms", 1},
            {"until_ms", 4e12},
            {"outlives_start", true}}}};
}
// Sends a proposal about regimes to the first member, again every 500 ms, until all members except `except`
// have applied it.
inline void propose_until_applied(ProcessHarness& harness, nlohmann::json proposal, const std::string& id,
                                  const std::set<std::string>& except = {}) {
  proposal["id"] = id;
  double next_request_at = 0;
  const bool applied = harness.poll_until([&] {
    if (harness.now() >= next_request_at) {
      harness.service.request(harness.operator_targets[0]->admin_endpoint, "POST",
                              "/-/compliance/propose/" + percent_encoded(proposal.dump()));
      next_request_at = harness.now() + 500;
    }
    return std::all_of(harness.operator_targets.begin(), harness.operator_targets.end(), [&](const auto* p) {
      return except.count(p->name) != 0 ||
             harness.service.request(p->admin_endpoint, "GET", "/-/compliance/outcome/" + id) == 200;
    });
  });
  INFO(harness.all_logs());
  REQUIRE(applied);
}
// The latest time at which a line with this text was logged; 0: none.
inline double last_logged_at(const ProcessHarness& harness, const std::string& text) {
  double out = 0;
  for (const auto& line : harness.lines()) {
    const auto at = line.find(" at=");
    if (line.find(text) != std::string::npos && at != std::string::npos)
      out = std::max(out, std::stod(line.substr(at + 4)));
  }
  return out;
}
// The earliest such time; 0: none.
inline double first_logged_at(const ProcessHarness& harness, const std::string& text) {
  double out = 0;
  for (const auto& line : harness.lines()) {
    const auto at = line.find(" at=");
    if (line.find(text) == std::string::npos || at == std::string::npos)
      continue;
    const double time = std::stod(line.substr(at + 4));
    out = out == 0 ? time : std::min(out, time);
  }
  return out;
}
inline std::size_t count_calls_after(const ProcessHarness& harness, std::size_t host, double after) {
  const auto& all = harness.execs.at(host);
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](const auto& e) { return e.at > after; }));
}

}  // namespace lotusyard::test
