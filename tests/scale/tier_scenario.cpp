#include "scale/tier_scenario.h"

namespace lotusyard::test {
namespace {

constexpr int kMaxCutName = 1000;            // upper bound of the cuts' names
constexpr double kFinalChangeDelay = 10000;  // after the faults are removed, milliseconds

// Removes all faults and restarts every process.
void end_faults(HollowFleet& fleet) {
  for (int name = 1; name < kMaxCutName; ++name)
    fleet.network().remove_cut(name);
  fleet.heal(0);
  fleet.network().delta_loss = fleet.network().delta_repeat = 0;
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i)
    fleet.start_node(i);
  for (std::size_t i = 0; i < fleet.invokers().size(); ++i)
    fleet.start_invoker(i);
  // A lost delta is detected only when the next one arrives.
  fleet.at(fleet.now() + kFinalChangeDelay, [&fleet] { fleet.change(); });
}

}  // namespace

Scenario planted_scenario(std::uint64_t seed) {
  Scenario out;
  out.fleet.seed = seed;
  out.fleet.invokers = 60;
  out.fleet.nodes = 4;
  out.fleet.records = 10;
  out.recovery_span = 25000;
  out.fault_span = 50000;
  out.changes_per_second = 4;
  if (seed % 2 == 1)
    out.fleet.capacity = {20, 512};  // slow, so that catching up takes long
  out.delta_loss = out.delta_repeat = 0.05;
  return out;
}

ScenarioResult run_scenario(const Scenario& scenario) {
  HollowFleet fleet(scenario.fleet);
  TierChecker checker(fleet);
  RandomFaults faults(fleet);
  fleet.network().delta_loss = scenario.delta_loss;
  fleet.network().delta_repeat = scenario.delta_repeat;
  fleet.run(scenario.fleet.start_spread);
  fleet.changes_each_second(scenario.changes_per_second, fleet.now() + scenario.fault_span);
  faults.start(fleet.now() + scenario.fault_span, scenario.fault_interval);
  fleet.run(scenario.fault_span);
  end_faults(fleet);
  fleet.run(scenario.recovery_span);
  if (scenario.recovery_span > 0)
    checker.expect_all_served(fleet.log().last(), fleet.now());
  ScenarioResult out;
  out.violations = checker.violations();
  out.sound = out.violations.empty();
  out.text = checker.text();
  out.proof = checker.proof();
  out.last = fleet.log().last();
  out.moves = checker.moves();
  out.leases = checker.leases();
  return out;
}

}  // namespace lotusyard::test
