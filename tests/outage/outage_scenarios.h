// Steps and checks shared by several outage tests.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "outage/checker.h"
#include "outage/outage_harness.h"

namespace lotusyard::test::outage {

inline constexpr double kShortGrace = 1000;

inline HarnessOptions short_grace() {
  HarnessOptions options;
  options.drain_grace = kShortGrace;
  return options;
}

// The strictest specified clock: a change that is published in an outage counts as notified 2 s after the
// start of the outage, and at once from then on.
inline Rules strict_rules(double drain_grace = kShortGrace) {
  Rules rules;
  rules.drain_grace = drain_grace;
  rules.notification_delay = 2000;
  rules.clock = NotificationClock::per_outage;
  return rules;
}

struct IncidentRun {
  std::vector<std::size_t> drained;
  double drained_at = 0;
};

// Two busy hosts drain 500 ms after the start of a 13 s outage of discovery.
inline IncidentRun run_incident(OutageHarness& harness) {
  IncidentRun run;
  harness.start_all();
  harness.run_for(Millis(2500));
  harness.begin_outage(OutageForm::refused);
  harness.run_for(Millis(500));
  run.drained = harness.busiest(2);
  run.drained_at = harness.now();
  harness.drain(run.drained);
  harness.run_for(Millis(12500));
  harness.end_outage();
  harness.run_for(Millis(1500));
  harness.finish_calls();
  return run;
}

inline void check_rules(const OutageHarness& harness, const Rules& rules) {
  CHECK(violations(harness.history, rules) == std::vector<std::string>());
}

// Within this time of the end of an outage, ready hosts get calls again.
inline constexpr Millis kRecoveryTime{3000};

inline void check_recovery(OutageHarness& harness) {
  const double from = harness.now();
  harness.run_for(kRecoveryTime);
  int serving = 0;
  for (const auto& host : harness.hosts)
    serving += calls_served_by(harness.history, host.id, from, harness.now()) > 0 ? 1 : 0;
  CHECK(serving >= 2);
  CHECK(served_share(harness.history, from + kRecoveryTime.count() / 2, harness.now()) > 0.98);
}

}  // namespace lotusyard::test::outage
