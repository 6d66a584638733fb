// The control tier under every kind of fault, checked against the reference state and true time.
#include <catch2/catch.hpp>
#include <iostream>

#include "scale/tier_scenario.h"

namespace lotusyard::test {
namespace {

constexpr std::uint64_t kSeeds = 10;

TEST_CASE("leases and replicas keep their invariants under every kind of fault", "[scale-short]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Scenario scenario;
    scenario.fleet.seed = seed;
    const ScenarioResult result = run_scenario(scenario);
    std::cout << "seed " << seed << ": " << result.moves << " moves, " << result.leases << " leases, proved "
              << result.proof.applied << " and " << result.proof.quiesced_index << " of " << result.last
              << "\n";
    INFO("seed " << seed << ": " << result.text);
    CHECK(result.sound);
  }
}

TEST_CASE("replicas tolerate a transport that loses and repeats deltas", "[scale-short]") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Scenario scenario;
    scenario.fleet.seed = seed;
    scenario.fleet.invokers = 100;
    scenario.delta_loss = scenario.delta_repeat = 0.05;
    const ScenarioResult result = run_scenario(scenario);
    INFO("seed " << seed << ": " << result.text);
    CHECK(result.sound);
  }
}

}  // namespace
}  // namespace lotusyard::test
