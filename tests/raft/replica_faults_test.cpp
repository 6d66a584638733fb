// Replicas on disks that fail: no vote is forgotten, no term goes back, no acknowledged entry is lost, and
// every replica takes part again once its disk works.
#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <string>

#include "raft/simulated_replicas.h"

namespace lotusyard::test {
namespace {

// Returns the rule that was broken, or nothing. `ignores_syncs`: disks report a sync before it is durable.
std::string run_group(std::uint64_t seed, bool ignores_syncs = false) {
  SimulatedReplicas group(seed);
  Random random(seed);
  for (auto& replica : group.replicas)
    replica.disk->ignores_syncs = ignores_syncs;
  for (int i = 0; i < 60 && group.checker.violation().empty(); ++i) {
    group.propose();
    group.run(Millis(50));
    auto& replica = group.replicas[below(random, SimulatedReplicas::kReplicas)];
    if (below(random, 6) == 0)
      replica.disk->rates = below(random, 2) == 0 ? FaultRates() : random_rates(random);
    if (below(random, 10) == 0)
      replica.disk->is_full = !replica.disk->is_full;
    if (below(random, 10) == 0)
      group.loss_percent = static_cast<unsigned>(below(random, 20));
    if (below(random, 10) > 0)
      continue;
    replica.disk->crash_kind =
        below(random, 2) == 0 || ignores_syncs ? Crash::power_lost : Crash::process_killed;
    replica.disk->crash_at = replica.disk->changes() + 1 + below(random, 12);
  }
  group.heal_and_check();
  return group.checker.violation();
}

TEST_CASE("replicas: no vote is forgotten and no acknowledged entry is lost over 200 schedules") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    REQUIRE(run_group(seed) == "");
  }
}

TEST_CASE("replicas: the checker finds disks that report a sync before it is durable") {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed)
    found += run_group(seed, true).empty() ? 0 : 1;
  CHECK(found > 0);
}

TEST_CASE("replicas: a replica whose disk is full for 10 s is unavailable, and recovers by itself") {
  SimulatedReplicas group(3);
  group.run(Millis(2000));
  const auto leads = [](const auto& replica) { return replica.core->is_leader(); };
  auto* leader = std::find_if(std::begin(group.replicas), std::end(group.replicas), leads);
  REQUIRE(leader != std::end(group.replicas));
  leader->disk->is_full = true;
  leader->disk->rates.full = 1000;
  for (int i = 0; i < 200; ++i) {
    group.propose();
    group.run(Millis(50));
  }
  CHECK(leader->unavailable_count > 0);
  CHECK_FALSE(leader->core->is_leader());
  CHECK_FALSE(leader->core->is_available());
  CHECK_FALSE(leader->core->has_failed());
  CHECK(group.checker.acknowledged().size() > 150);  // the others go on
  group.heal_and_check();
  CHECK(group.checker.violation() == "");
}

TEST_CASE("replicas: all disks full for 10 s stop the group, which recovers by itself") {
  SimulatedReplicas group(4);
  group.run(Millis(2000));
  for (auto& replica : group.replicas)
    replica.disk->rates.full = 1000;
  for (int i = 0; i < 200; ++i) {
    group.propose();
    group.run(Millis(50));
  }
  CHECK(group.checker.acknowledged().empty());
  group.heal_and_check();
  CHECK(group.checker.violation() == "");
}

TEST_CASE("replicas: an instance that restarts from a snapshot applies nothing twice") {
  SimulatedReplicas group(6);
  group.run(Millis(2000));
  for (int i = 0; i < 400; ++i) {
    for (int proposal = 0; proposal < 6; ++proposal)
      group.propose();
    if (i % 40 == 20)
      group.replicas[i / 40 % 3].disk->rates.sync_error = 400;
    if (i % 40 == 35)
      group.replicas[i / 40 % 3].disk->rates = FaultRates();
    group.run(Millis(20));
  }
  CHECK(std::any_of(std::begin(group.replicas), std::end(group.replicas),
                    [](const auto& replica) { return replica.store->snapshot_index() > 0; }));
  group.heal_and_check();
  CHECK(group.checker.violation() == "");
  CHECK(group.proposed > 1200);
  CHECK(group.checker.acknowledged().size() > 1200);
}

TEST_CASE("replicas: a replica whose disk fails for longer than the log reaches back receives a snapshot") {
  SimulatedReplicas group(8);
  group.run(Millis(2000));
  auto& failing = group.replicas[2];
  failing.disk->rates.full = 1000;
  for (int i = 0; i < 400; ++i) {
    for (int proposal = 0; proposal < 6; ++proposal)
      group.propose();
    group.run(Millis(20));
  }
  CHECK(group.checker.acknowledged().size() > 1200);
  CHECK(failing.store->snapshot_index() == 0);
  group.heal_and_check();
  CHECK(group.checker.violation() == "");
  CHECK(failing.store->snapshot_index() > 0);
}

}  // namespace
}  // namespace lotusyard::test
