// A host is released to operators only once no member has a call there, in simulated groups (SimulatedGroup).
#include <catch2/catch.hpp>

#include "maintenance/simulated_group.h"

namespace lotusyard::test {
namespace {

TEST_CASE("no host is released while a call is in flight there, over kills, disconnections and elections") {
  int released_hosts = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SimulatedGroup group(seed, 3 + static_cast<int>(seed % 3) * 2, 8);
    INFO("seed " << seed);
    REQUIRE(group.run(3000) == "");
    REQUIRE(group.max_hosts_out() <= 2);
    released_hosts += group.released_hosts();
  }
  CHECK(released_hosts > 100);
}

TEST_CASE("the check detects a member that ignores its lease, and one that does not drain") {
  int detected_without_lease = 0;
  int detected_without_drain = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SimulatedGroup without_lease(seed, 3, 8);
    without_lease.faults.ignores_lease = true;
    if (!without_lease.run(3000).empty())
      ++detected_without_lease;
    SimulatedGroup without_drain(seed, 3, 8);
    without_drain.faults.ignores_drain = true;
    if (!without_drain.run(3000).empty())
      ++detected_without_drain;
  }
  CHECK(detected_without_lease > 0);
  CHECK(detected_without_drain > 0);
}

}  // namespace
}  // namespace lotusyard::test
