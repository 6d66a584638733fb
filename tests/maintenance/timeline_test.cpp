// The timeline of a job, as read from the logs of all members.
#include "maintenance/timeline.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lotusyard::test {
namespace {

TEST_CASE("a job's timeline is read from the members' logs, and contradictory lines are detected") {
  const std::vector<std::string> lines = {
      "noise", "works at=1000 member=a term=1 index=7 take work=w host=h1 reason=\"its absence costs least\"",
      "works at=1010 member=b term=1 index=7 take work=w host=h1 reason=\"its absence costs least\"",
      "works at=1200 member=a term=1 index=9 touch work=w host=h1 reason=\"all members are done with it\"",
      "works at=1100 member=a term=1 index=8 calls asked=50 lost=2"};
  auto timeline = maintenance::parse_timeline(lines);
  REQUIRE(timeline.entries.size() == 2);
  CHECK(timeline.entries[0].members.size() == 2);
  CHECK(timeline.fault.empty());
  CHECK_THAT(maintenance::render_table(timeline), Catch::Contains("its absence costs least"));
  CHECK_THAT(maintenance::render_svg(timeline),
             Catch::Contains("h1 draining") && Catch::EndsWith("</svg>\n"));
  auto contradicting = lines;
  contradicting.push_back("works at=1300 member=b term=1 index=9 touch work=w host=h2 reason=\"\"");
  CHECK_THAT(maintenance::parse_timeline(contradicting).fault, Catch::Contains("index 9"));
}

}  // namespace
}  // namespace lotusyard::test
