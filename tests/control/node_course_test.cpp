// Whatever the course of a control node's sessions, what it reports is true; and the model finds each rule
// that is broken on purpose.
#include "node_course.h"

#include "catch2/catch.hpp"
#include "property.h"

namespace lotusyard::test {
namespace {

bool goes_wrong(int cases, CourseCounts& counts) {
  return !property_holds("what a node reports is true", cases, [&] {
    const auto steps = rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kStepKinds * 4000));
    const std::string wrong = Course(counts).run(*rc::gen::resize(400, steps));
    if (!wrong.empty()) RC_FAIL(wrong);
  });
}

TEST_CASE("whatever becomes of sessions, no report of the node is ever untrue") {
  CourseCounts counts;
  CHECK_FALSE(goes_wrong(3000, counts));
  CHECK(counts.grants > 10000);
  CHECK(counts.floors > 10000);
  CHECK(counts.snapshots > 10000);
  CHECK(counts.deltas > 10000);
}

TEST_CASE("each rule of the node that is broken on purpose is found") {
  for (const char* rule : {"session-outlasts-node", "grant-behind", "forget-disconnected", "early-report",
                           "skip-delta", "group-went-on", "forget-calls"}) {
    INFO(rule);
    Breaks::Rule broken(rule);
    CourseCounts counts;
    CHECK(goes_wrong(5000, counts));
  }
}

}  // namespace
}  // namespace lotusyard::test
