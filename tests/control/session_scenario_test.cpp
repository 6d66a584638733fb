// Random scenarios of losses, repeats, disorder, reconnects, delays and stops, against an independent model
// of the lease and of the records; injected faults show that the model detects violations.
#include "control/session_scenario.h"

#include <catch2/catch.hpp>
#include <map>

namespace lotusyard::test {
namespace {

constexpr int kKinds = 16;  // of steps; those without a fault advance the time

// Events in the sessions of all scenarios.
std::map<std::string, std::uint64_t> event_counts;
constexpr const char* kEvents[] = {"opened",       "disconnected", "silent",     "leaseless",
                                   "refused.busy", "timed_out",    "duplicates", "grants_unknown",
                                   "gaps",         "gap_again",    "grants",     "grants_of_nothing"};

bool scenarios_hold(int cases) {
  return property_holds(
      "the lease and the records agree with the model", cases,
      [] {
        SessionScenario scenario(*rc::gen::inRange<std::uint64_t>(1, 1000000));
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kKinds));
        for (const int step : steps)
          scenario.step(step);
        scenario.finish();
        for (const char* event : kEvents)
          event_counts[event] += scenario.counters().value(std::string("control.session.") + event);
      },
      kHistorySeed);
}

TEST_CASE("scenarios: the lease never outlasts its grants, and the session recovers once faults end") {
  event_counts.clear();
  CHECK(scenarios_hold(1500));
  for (const char* event : kEvents) {
    INFO(event << " " << event_counts[event]);
    CHECK(event_counts[event] >= 50);  // each event occurs in the scenarios
  }
}

TEST_CASE("scenarios: a lease that is counted from the arrival of the grant is detected") {
  FaultInjection::Scope injected("grant-from-receipt");
  CHECK_FALSE(scenarios_hold(100));
}

TEST_CASE("scenarios: a change that is applied twice is detected") {
  FaultInjection::Scope injected("apply-twice");
  CHECK_FALSE(scenarios_hold(500));
}

TEST_CASE("scenarios: a change that is applied after a gap is detected") {
  FaultInjection::Scope injected("accept-gap");
  CHECK_FALSE(scenarios_hold(500));
}

}  // namespace
}  // namespace lotusyard::test
