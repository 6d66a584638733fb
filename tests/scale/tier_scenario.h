// The scenario of the short runs: a small fleet with every kind of fault, and the checker on it.
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
  double span = 30000;        // with faults, milliseconds of virtual time
  double calm = 25000;        // after them; then every invoker must be served, unless it is 0
  double fault_pause = 1200;  // between two faults, about
  double changes_per_second = 2;
  double delta_loss = 0, delta_repeat = 0;
};

ScenarioResult run_scenario(const Scenario& scenario);
// The small and short one in which the checker looks for planted faults.
Scenario planted_scenario(std::uint64_t seed);

}  // namespace lotusyard::test
