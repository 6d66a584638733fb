// Random courses of losses, repeats, disorder, reconnects, delays and stops, against an independent model of
// the lease and of the records; and the model itself checked by rules broken on purpose.
#include <catch2/catch.hpp>
#include <map>

#include "control/session_world.h"

namespace lotusyard::test {
namespace {

constexpr int kKinds = 16;  // of steps; those that are no fault let time pass

// What the sessions of all courses have been through.
std::map<std::string, std::uint64_t> tally;
constexpr const char* kEvents[] = {"opened",       "disconnected", "silent",     "leaseless",
                                   "refused.busy", "timed_out",    "duplicates", "grants_unknown",
                                   "gaps",         "gap_again",    "grants",     "grants_of_nothing"};

bool courses_hold(int cases) {
  return property_holds(
      "the lease and the records are what the model says", cases,
      [] {
        SessionWorld world(*rc::gen::inRange<std::uint64_t>(1, 1000000));
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kKinds));
        for (const int step : steps)
          world.step(step);
        world.finish();
        for (const char* event : kEvents)
          tally[event] += world.counters().value(std::string("control.session.") + event);
      },
      kHistorySeed);
}

TEST_CASE("courses: the lease never outlasts its grants, and all comes right once faults end") {
  tally.clear();
  CHECK(courses_hold(1500));
  for (const char* event : kEvents) {
    INFO(event << " " << tally[event]);
    CHECK(tally[event] >= 50);  // the courses do meet all this
  }
}

TEST_CASE("courses: a lease that is counted from the grant's arrival is found") {
  Breaks::Rule broken("grant-from-receipt");
  CHECK_FALSE(courses_hold(100));
}

TEST_CASE("courses: a change that is applied twice is found") {
  Breaks::Rule broken("apply-twice");
  CHECK_FALSE(courses_hold(500));
}

TEST_CASE("courses: a change that is applied behind a gap is found") {
  Breaks::Rule broken("accept-gap");
  CHECK_FALSE(courses_hold(500));
}

}  // namespace
}  // namespace lotusyard::test
