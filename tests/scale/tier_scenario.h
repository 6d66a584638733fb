// Scenario of the short runs: a small fleet with every kind of fault, checked by TierChecker.
#pragma once

#include "scale/random_faults.h"
#include "scale/tier_checker.h"

namespace lotusyard::test {

struct ScenarioResult {
  bool sound = true;
  std::string text;  // of the violations
  std::vector<TierChecker::Violation> violations;
  Proof proof;
  Index last = 0;  // of the log
  std::uint64_t moves = 0, leases = 0;
};

struct Scenario {
  FleetOptions fleet;
  double fault_span = 30000;     // milliseconds of virtual time with faults
  double recovery_span = 25000;  // without faults; after it every invoker must be served, unless it is 0
  double fault_interval = 1200;  // mean time between two faults, milliseconds
  double changes_per_second = 2;
  double delta_loss = 0, delta_repeat = 0;
};

ScenarioResult run_scenario(const Scenario& scenario);
// A small and short scenario in which the checker must find planted faults.
Scenario planted_scenario(std::uint64_t seed);

}  // namespace lotusyard::test
