// Random scenarios of losses, repeats, disorder, reconnects, delays and stops, against an independent model
// of the lease and of the records; the model itself is checked by rules that are broken on purpose.
#include "control/session_scenario.h"

#include <catch2/catch.hpp>
#include <map>

namespace lotusyard::test {
namespace {

constexpr int kKinds = 16;  // of steps; those that are no fault let time pass

// Events that the sessions of all scenarios have met.
std::map<std::string, std::uint64_t> tally;
constexpr const char* kEvents[] = {"opened",       "disconnected", "silent",     "leaseless",
                                   "refused.busy", "timed_out",    "duplicates", "grants_unknown",
                                   "gaps",         "gap_again",    "grants",     "grants_of_nothing"};

bool scenarios_hold(int cases) {
  return property_holds(
      "the lease and the records are what the model says", cases,
      [] {
        SessionScenario scenario(*rc::gen::inRange<std::uint64_t>(1, 1000000));
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kKinds));
        for (const int step : steps)
          scenario.step(step);
        scenario.finish();
        for (const char* event : kEvents)
          tally[event] += scenario.counters().value(std::string("control.session.") + event);
      },
      kHistorySeed);
}

TEST_CASE("scenarios: the lease never outlasts its grants, and all comes right once faults end") {
  tally.clear();
  CHECK(scenarios_hold(1500));
  for (const char* event : kEvents) {
    INFO(event << " " << tally[event]);
    CHECK(tally[event] >= 50);  // the scenarios do meet each event
  }
}

TEST_CASE("scenarios: a lease that is counted from the grant's arrival is found") {
  FaultInjection::Scope broken("grant-from-receipt");
  CHECK_FALSE(scenarios_hold(100));
}

TEST_CASE("scenarios: a change that is applied twice is found") {
  FaultInjection::Scope broken("apply-twice");
  CHECK_FALSE(scenarios_hold(500));
}

TEST_CASE("scenarios: a change that is applied behind a gap is found") {
  FaultInjection::Scope broken("accept-gap");
  CHECK_FALSE(scenarios_hold(500));
}

}  // namespace
}  // namespace lotusyard::test
