// Plants one fault at a time in the control tier; the checker must find each within a few seeds.
#include <catch2/catch.hpp>
#include <iostream>

#include "scale/tier_scenario.h"
#include "support/fault_injection.h"

namespace lotusyard::test {
namespace {

using Rule = TierChecker::Rule;

struct Planted {
  const char* fault;
  Rule found_by;
  std::uint64_t max_seeds;
};

constexpr Planted kPlanted[] = {
    {"session-outlasts-node", Rule::lease_outlasts_node, 1},
    {"grant-behind", Rule::lease_behind_proof, 3},
    {"forget-disconnected", Rule::lease_behind_proof, 3},
    {"early-report", Rule::settled_behind_proof, 5},
    {"skip-delta", Rule::delta_skipped, 1},
    {"grant-from-receipt", Rule::lease_outlasts_node, 1},
    {"apply-twice", Rule::records_differ, 1},
    {"accept-gap", Rule::records_differ, 1},
};

bool finds(const ScenarioResult& result, Rule rule) {
  return std::any_of(result.violations.begin(), result.violations.end(),
                     [&](const TierChecker::Violation& violation) { return violation.rule == rule; });
}

void expect_found(const Planted& planted) {
  const FaultInjection::Scope injected(planted.fault);
  for (std::uint64_t seed = 1; seed <= planted.max_seeds; ++seed) {
    const ScenarioResult result = run_scenario(planted_scenario(seed));
    if (!finds(result, planted.found_by))
      continue;
    std::cout << planted.fault << ": found with seed " << seed << "\n";
    SUCCEED(planted.fault);
    return;
  }
  FAIL(planted.fault << " was not found within " << planted.max_seeds << " seeds");
}

}  // namespace

TEST_CASE("planted: session-outlasts-node", "[scale-short]") { expect_found(kPlanted[0]); }
TEST_CASE("planted: grant-behind", "[scale-short]") { expect_found(kPlanted[1]); }
TEST_CASE("planted: forget-disconnected", "[scale-short]") { expect_found(kPlanted[2]); }
TEST_CASE("planted: early-report", "[scale-short]") { expect_found(kPlanted[3]); }
TEST_CASE("planted: skip-delta", "[scale-short]") { expect_found(kPlanted[4]); }
TEST_CASE("planted: grant-from-receipt", "[scale-short]") { expect_found(kPlanted[5]); }
TEST_CASE("planted: apply-twice", "[scale-short]") { expect_found(kPlanted[6]); }
TEST_CASE("planted: accept-gap", "[scale-short]") { expect_found(kPlanted[7]); }

TEST_CASE("no violation is found without a planted fault", "[scale-short]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const ScenarioResult result = run_scenario(planted_scenario(seed));
    INFO("seed " << seed << ": " << result.text);
    CHECK(result.sound);
  }
}

// Run by name: reports in how many seeds each fault is found, and by which rule of the checker.
TEST_CASE("how often planted faults are found", "[.][scale-planted]") {
  constexpr std::uint64_t kSeeds = 20;
  for (const Planted& planted : kPlanted) {
    std::map<std::string, int> found;
    const FaultInjection::Scope injected(planted.fault);
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const ScenarioResult result = run_scenario(planted_scenario(seed));
      std::set<std::string> rules;
      for (const auto& violation : result.violations)
        rules.insert(name_of(violation.rule));
      for (const auto& rule : rules)
        ++found[rule];
    }
    std::cout << planted.fault << ", of " << kSeeds << " seeds:";
    for (const auto& [rule, seeds] : found)
      std::cout << ' ' << rule << ' ' << seeds;
    std::cout << std::endl;
  }
}

}  // namespace lotusyard::test
