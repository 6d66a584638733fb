// The scenario of the short runs: a small fleet with every kind of fault, and the checker on it.
#pragma once

#include "random_faults.h"
#include "tier_checker.h"

namespace lotusyard::test {

struct ScenarioResult {
  bool sound = true;
  std::string text;  // of the violations
  std::vector<TierChecker::Violation> violations;
  Proof proof;
  Index last = 0;  // of the log
  std::uint64_t moves = 0, leases = 0;
  std::size_t live = 0, held = 0, current = 0;  // invokers at the end: live, with a lease, up to date
};

struct Scenario {
  FleetOptions fleet;
  double span = 60000;        // with faults, milliseconds of virtual time
  double calm = 15000;        // after them
  double fault_pause = 2000;  // between two faults, about
  double changes_per_second = 2;
  double delta_loss = 0, delta_repeat = 0;
};

ScenarioResult run_scenario(const Scenario& scenario);

}  // namespace lotusyard::test
