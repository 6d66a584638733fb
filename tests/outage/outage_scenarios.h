// Steps and expectations that several outage tests share.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "outage/checker.h"
#include "outage/outage_rig.h"

namespace lotusyard::test::outage {

inline constexpr double kShortGrace = 1000;

inline RigOptions short_grace() {
  RigOptions options;
  options.drain_grace = kShortGrace;
  return options;
}

// The pages' shortest clock: what is published in an outage counts as notified 2 s after the outage began,
// and at once from then on.
inline Rules strict_rules(double drain_grace = kShortGrace) {
  Rules rules;
  rules.drain_grace = drain_grace;
  rules.notice = 2000;
  rules.clock = NoticeClock::per_outage;
  return rules;
}

struct IncidentRun {
  std::vector<std::size_t> drained;
  double drained_at = 0;
};

// The steps of the incident: two busy hosts drain just after discovery went out of reach for 13 s.
inline IncidentRun play_incident(OutageRig& rig) {
  IncidentRun run;
  rig.start_all();
  rig.run_for(Millis(2500));
  rig.begin_outage(OutageForm::refused);
  rig.run_for(Millis(500));
  run.drained = rig.busiest(2);
  run.drained_at = rig.now();
  rig.drain(run.drained);
  rig.run_for(Millis(12500));
  rig.end_outage();
  rig.run_for(Millis(1500));
  rig.settle();
  return run;
}

inline void check_rules(const OutageRig& rig, const Rules& rules) {
  CHECK(violations(rig.history, rules) == std::vector<std::string>());
}

// Hosts that are ready take calls again within this time of the end of an outage.
inline constexpr Millis kRecoveryTime{3000};

inline void check_recovery(OutageRig& rig) {
  const double from = rig.now();
  rig.run_for(kRecoveryTime);
  int serving = 0;
  for (const auto& host : rig.hosts)
    serving += calls_served_by(rig.history, host.id, from, rig.now()) > 0 ? 1 : 0;
  CHECK(serving >= 2);
  CHECK(served_share(rig.history, from + kRecoveryTime.count() / 2, rig.now()) > 0.98);
}

}  // namespace lotusyard::test::outage
