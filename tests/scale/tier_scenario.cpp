#include "scale/tier_scenario.h"

namespace lotusyard::test {
namespace {

constexpr int kAllCuts = 1000;            // their names are below
constexpr double kOneMoreChange = 10000;  // after all is well again, milliseconds

// Everything that a fault has taken away is given back.
void calm_down(HollowFleet& fleet) {
  for (int name = 1; name < kAllCuts; ++name)
    fleet.network().forget_cut(name);
  fleet.heal(0);
  fleet.network().delta_loss = fleet.network().delta_repeat = 0;
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i)
    fleet.start_node(i);
  for (std::size_t i = 0; i < fleet.invokers().size(); ++i)
    fleet.start_invoker(i);
  // A lost delta shows only when the next one comes.
  fleet.at(fleet.now() + kOneMoreChange, [&fleet] { fleet.change(); });
}

}  // namespace

Scenario planted_scenario(std::uint64_t seed) {
  Scenario out;
  out.fleet.seed = seed;
  out.fleet.invokers = 60;
  out.fleet.nodes = 4;
  out.fleet.records = 10;
  out.calm = 25000;
  out.span = 50000;
  out.changes_per_second = 4;
  if (seed % 2 == 1)
    out.fleet.capacity = {20, 512};  // slow, so that it takes a while to catch up
  out.delta_loss = out.delta_repeat = 0.05;
  return out;
}

ScenarioResult run_scenario(const Scenario& scenario) {
  HollowFleet fleet(scenario.fleet);
  TierChecker checker(fleet);
  RandomFaults faults(fleet);
  fleet.network().delta_loss = scenario.delta_loss;
  fleet.network().delta_repeat = scenario.delta_repeat;
  fleet.run(scenario.fleet.start_over);
  fleet.changes_each_second(scenario.changes_per_second, fleet.now() + scenario.span);
  faults.begin(fleet.now() + scenario.span, scenario.fault_pause);
  fleet.run(scenario.span);
  calm_down(fleet);
  fleet.run(scenario.calm);
  if (scenario.calm > 0)
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
