// Orders to load instances: how many, of which function, and where.
#include <gtest/gtest.h>

#include <algorithm>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

TEST(LoadOrders, OneLoadServesAllCallsThatWaitForAFunction) {
  RouterFixture router(make_settings());
  router.update_endpoints({host_entry("a"), host_entry("b")});
  router.request("x");
  router.advance(100);
  router.request("y");
  EXPECT_EQ(router.loads.size(), 1U);
  router.finish_load(router.loads[0].host, 1, 1);
  EXPECT_EQ(router.sends.size(), 2U);
}

// Regression: with all loads in flight the next call to come took the slot of each load that ended,
// whatever its priority weight: the class with the highest weight was served least.
TEST(LoadOrders, NextLoadIsOfTheWaitingFunctionWithTheHighestPriorityWeight) {
  Settings settings = make_settings();
  settings.classes[2].priority_weight = 9;  // unsafe
  RouterFixture router(settings);
  router.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c"), host_entry("d")});
  for (int i = 0; i < 20; ++i)
    router.request(numbered("x", i), static_cast<std::uint64_t>(100 + i));
  const auto in_flight = router.loads.size();
  ASSERT_LT(in_flight, 20U);  // as many loads are in flight as may be
  router.request("highest weight", 7, "unsafe");
  EXPECT_EQ(router.loads.size(), in_flight);
  router.finish_load(router.loads[0].host, router.loads[0].function, 1);
  ASSERT_EQ(router.loads.size(), in_flight + 1);
  EXPECT_EQ(router.loads.back().function, 7U);
}

TEST(LoadOrders, UnansweredOrderIsReplacedByOneElsewhere) {
  RouterFixture router(make_settings());
  router.update_endpoints({host_entry("a"), host_entry("b")});
  router.request("x");
  ASSERT_EQ(router.loads.size(), 1U);
  router.advance(3900);
  ASSERT_GE(router.loads.size(), 2U);
}

TEST(LoadOrders, LoadsInFlightAreBounded) {
  RouterFixture router(make_settings());
  router.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c"), host_entry("d")});
  for (int i = 0; i < 40; ++i)
    router.request(numbered("x", i), static_cast<std::uint64_t>(100 + i));
  router.advance(500);
  EXPECT_GE(router.loads.size(), 2U);
  EXPECT_LE(router.loads.size(), 12U);
}

TEST(LoadOrders, HostReturnedToServiceGetsOneLoadThoughAllIsWarmElsewhere) {
  for (const bool returned : {true, false}) {
    Settings settings = make_settings();
    settings.host_protocol.answers_misses = true;
    settings.load_orders.floor = 6;
    settings.load_orders.window = Millis(10000);
    RouterFixture router(settings);
    router.update_endpoints({host_entry("w1"), host_entry("w2")});
    const auto call = [&](int number) {
      router.request("r" + std::to_string(number), 1, "safe", 4000, 4);
      ASSERT_EQ(router.sends.back().id, "r" + std::to_string(number));
      router.answer(router.sends.back(), Outcome::ok);
      router.advance(100);
    };
    for (int i = 0; i < 10; ++i)
      call(i);
    const std::string warm = router.sends.back().host;
    const std::string other = warm == "w1" ? "w2" : "w1";
    const std::size_t before = router.sends.size();
    if (returned)
      router.update_endpoints({host_entry(other, HostState::draining)}, ListKind::delta);
    auto returned_entry = host_entry(other, HostState::ready, router.now.count());
    returned_entry.enabled_by_operator = true;
    if (returned)
      router.update_endpoints({returned_entry}, ListKind::delta);
    for (int i = 10; i < 60; ++i) {
      call(i);
      if (!router.loads.empty())
        router.finish_load(router.loads.back().host, 1, 1);
    }
    EXPECT_EQ(router.loads.size(), returned ? 1U : 0U);  // one order, within the quota, and no more
    const auto went_to_other = [&](const action::Send& send) { return send.host == other; };
    const auto first_new = router.sends.begin() + static_cast<std::ptrdiff_t>(before);
    EXPECT_EQ(std::any_of(first_new, router.sends.end(), went_to_other), returned);
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
