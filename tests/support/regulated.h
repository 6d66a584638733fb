// What tests of regulated calls share: operators' proposals about regimes and certificates, and which calls
// came to a host.
#pragma once

#include <set>
#include <string>

#include "support/process_rig.h"

namespace lotusyard::test {

// The certificate of a host under the regime `export`.
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
// An operator's word about regimes, at any member, until all have applied it.
inline void agree(ProcessRig& rig, nlohmann::json what, const std::string& id,
                  const std::set<std::string>& but = {}) {
  what["id"] = id;
  double again = 0;
  const bool agreed = rig.soon([&] {
    if (rig.now() >= again) {
      rig.s.ask(rig.operated[0]->admin_endpoint, "POST",
                "/-/compliance/propose/" + percent_encoded(what.dump()));
      again = rig.now() + 500;
    }
    return std::all_of(rig.operated.begin(), rig.operated.end(), [&](const auto* p) {
      return but.count(p->name) != 0 ||
             rig.s.ask(p->admin_endpoint, "GET", "/-/compliance/outcome/" + id) == 200;
    });
  });
  INFO(rig.all_logs());
  REQUIRE(agreed);
}
// When the last process, of those that follow, wrote such a line.
inline double wrote(const ProcessRig& rig, const std::string& text) {
  double out = 0;
  for (const auto& line : rig.lines()) {
    const auto at = line.find(" at=");
    if (line.find(text) != std::string::npos && at != std::string::npos)
      out = std::max(out, std::stod(line.substr(at + 4)));
  }
  return out;
}
// When the first one did; 0: none has.
inline double first_wrote(const ProcessRig& rig, const std::string& text) {
  double out = 0;
  for (const auto& line : rig.lines()) {
    const auto at = line.find(" at=");
    if (line.find(text) == std::string::npos || at == std::string::npos)
      continue;
    const double time = std::stod(line.substr(at + 4));
    out = out == 0 ? time : std::min(out, time);
  }
  return out;
}
inline std::size_t calls_at(const ProcessRig& rig, std::size_t host, double after) {
  const auto& all = rig.execs.at(host);
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](const auto& e) { return e.at > after; }));
}

}  // namespace lotusyard::test
