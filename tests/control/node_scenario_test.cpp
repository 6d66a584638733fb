// Random scenarios of a control node's sessions: every report of the node is correct, and the model detects
// each injected fault.
#include "control/node_scenario.h"

#include "catch2/catch.hpp"
#include "control/property.h"

namespace lotusyard::test {
namespace {

// The violation in the first scenario that failed, or an empty string if all of them passed.
std::string first_violation(int cases, ScenarioCounts& counts) {
  std::string violation;
  const bool passed = property_holds("the reports of a node are correct", cases, [&] {
    const auto steps = rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kStepKinds * 4000));
    const std::string found = NodeScenario(counts).run(*rc::gen::resize(400, steps));
    if (found.empty())
      return;
    violation = found;
    RC_FAIL(found);
  });
  return passed || !violation.empty() ? violation : "a scenario that could not be run";
}

TEST_CASE("no report of a control node is wrong, whatever happens to its sessions") {
  ScenarioCounts counts;
  CHECK(first_violation(3000, counts).empty());
  CHECK(counts.grants > 10000);
  CHECK(counts.floors > 10000);
  CHECK(counts.snapshots > 10000);
  CHECK(counts.deltas > 10000);
}

TEST_CASE("each injected fault of a control node is detected") {
  const std::map<std::string, std::string> findings{
      {"session-outlasts-node", "a lease that outlasts the node's own"},
      {"grant-behind", "a lease behind what was reported applied"},
      {"forget-disconnected", "a lease behind what was reported applied"},
      {"early-report", "a lease behind what was reported applied"},
      {"skip-delta", "a change was left out"},
      {"group-went-on", "a lease behind what the group reached without this node"},
      {"forget-calls", "a call that was reported quiesced is in flight"}};
  for (const auto& [rule, finding] : findings) {
    INFO(rule);
    FaultInjection::Scope injected(rule.c_str());
    ScenarioCounts counts;
    CHECK(first_violation(5000, counts) == finding);
  }
}

}  // namespace
}  // namespace lotusyard::test
