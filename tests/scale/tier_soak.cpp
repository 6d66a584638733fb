// Many seeds of the short scenarios, run by name: [scale-soak].
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "scale/tier_scenario.h"

namespace lotusyard::test {
namespace {

std::uint64_t number_from_env(const char* variable, std::uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

void soak(const char* name, Scenario (*scenario_of)(std::uint64_t seed)) {
  const std::uint64_t first = number_from_env("TIER_FIRST_SEED", 1),
                      seeds = number_from_env("TIER_SEEDS", 100);
  std::uint64_t unsound = 0, moves = 0, leases = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const ScenarioResult result = run_scenario(scenario_of(seed));
    moves += result.moves;
    leases += result.leases;
    if (result.sound)
      continue;
    ++unsound;
    std::cout << name << " seed " << seed << ": " << result.text << std::endl;
  }
  std::cout << name << ": " << unsound << " of " << seeds << " seeds from " << first << " unsound, " << moves
            << " moves, " << leases << " leases" << std::endl;
  CHECK(unsound == 0);
}

Scenario short_scenario(std::uint64_t seed) {
  Scenario out;
  out.fleet.seed = seed;
  return out;
}

}  // namespace

TEST_CASE("many seeds of the short scenario", "[.][scale-soak]") { soak("short", short_scenario); }
TEST_CASE("many seeds of the planted scenario", "[.][scale-soak]") { soak("planted", planted_scenario); }

}  // namespace lotusyard::test
