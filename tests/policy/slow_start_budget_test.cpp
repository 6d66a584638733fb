// The calls that a host in slow start gets, from one router and from many.
#include <gtest/gtest.h>

#include <string>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: with 100 routers the budget of a host in slow start was below one call for each, and the
// host never warmed up.
TEST(SlowStartBudget, ManyRoutersShareTheBudgetOfAWarmingHost) {
  double calls = 0;
  for (int rank = 0; rank < 100; ++rank) {
    Settings settings = make_settings();
    settings.invokers = 100;
    settings.rank = rank;
    settings.seed = static_cast<std::uint64_t>(rank) + 1;
    RouterFixture router(settings);
    router.update_endpoints({host_entry("a", HostState::ready, 990)});
    for (int i = 0; i < 20; ++i) {
      router.request(numbered("x", i), 1, "safe", 450);
      router.advance(500);
    }
    calls += static_cast<double>(router.sends.size());
  }
  // Ten seconds in which a hundredth of a core grows from 0.16 to 0.7 of itself: 2.5 times that at the most.
  EXPECT_GE(calls, 10);
  EXPECT_LE(calls, 2.5 * 0.43 * 10000 / 250);
}

// Regression: 24 of 40 hosts were replaced. Each miss on a new host used up the tokens saved for it, so
// that the load went to an old one: the old hosts queued at 0.95 of their cores while the new ones idled
// at 0.15 for the rest of the day.
TEST(SlowStartBudget, LoadGoesToTheWarmingHostThatAnsweredTheMiss) {
  Settings settings = hundred_router_settings();
  settings.host_protocol.answers_misses = true;
  settings.host_protocol.reports_warm_start = false;
  int used = 0;
  int loaded = 0;
  for (int rank = 0; rank < 100; ++rank) {
    settings.rank = rank;
    settings.seed = static_cast<std::uint64_t>(rank) + 1;
    RouterFixture router(settings);
    router.now = Millis(1e6);
    router.update_endpoints({host_entry("old"), host_entry("new", HostState::ready, 1e6 - 100)});
    for (std::uint64_t function = 1; function <= 40; ++function) {  // some are placed on the new host
      router.request(numbered("x", static_cast<int>(function)), function, "safe", 3000);
      const auto send = router.sends.back();
      router.answer(send, send.host == "new" ? Outcome::no_instance : Outcome::ok, 160);
      if (send.host == "new") {
        ASSERT_EQ(router.loads.size(), 1U);
        EXPECT_EQ(router.loads[0].host, "new");
        ++loaded;
        router.finish_load("new", function, 1);
        if (router.sends.back().host == "new" && router.sends.size() > function)
          ++used;
        break;
      }
      router.advance(100);
    }
  }
  // All of them together in four seconds, 160 ms each: 2.5 times what 0.16 to 0.37 of a core do.
  EXPECT_GE(loaded, 5);
  EXPECT_GE(used, loaded / 2);
  EXPECT_LE((loaded + used) * 160, 2.5 * 0.26 * 4000);
}

TEST(SlowStartBudget, WarmingHostGetsFewCalls) {
  Settings settings = make_settings();
  settings.retries.max_attempts = 5;
  RouterFixture router(settings);
  router.update_endpoints({host_entry("a", HostState::ready, 990)});
  for (int i = 0; i < 60; ++i) {
    router.request(numbered("y", i), 1, "safe", 900);
    router.advance(10);
    if (!router.sends.empty() && router.answered.count(router.sends.back().id) == 0)
      router.answer(router.sends.back(), Outcome::ok, 100);
  }
  // One core, 0.16 of it, 2.5 times for a second is 400 ms of work: four calls of 100 ms.
  EXPECT_LE(router.sends.size(), 4U);
}

// Calls that 200 routers of a fleet of 100 send a host in slow start, where each has this quota of its
// budget.
std::size_t count_calls_with_quota(double quota) {
  std::size_t calls = 0;
  for (int seed = 0; seed < 200; ++seed) {
    Settings settings = make_settings();
    settings.invokers = 100;
    settings.slow_start.quota = quota;
    settings.seed = static_cast<std::uint64_t>(seed);
    for (auto& call_class : settings.classes)
      call_class.latency_objective = Millis(800);
    RouterFixture router(settings);
    router.update_endpoints({host_entry("a", HostState::ready, 990)});
    for (int i = 0; i < 20; ++i) {
      router.request(std::to_string(i), 1, "safe", 450);
      router.advance(500);
    }
    calls += router.sends.size();
  }
  return calls;
}

// This router's part of the budget may come from outside; without a quota it is an equal part.
TEST(SlowStartBudget, RouterUsesTheQuotaThatIsSet) {
  const std::size_t without_quota = count_calls_with_quota(0);
  const std::size_t with_equal_part = count_calls_with_quota(0.01);
  const std::size_t with_four_parts = count_calls_with_quota(0.04);
  EXPECT_EQ(without_quota, with_equal_part);
  EXPECT_GT(with_four_parts, 2 * without_quota);
}

}  // namespace
}  // namespace lotusyard::policy::test
