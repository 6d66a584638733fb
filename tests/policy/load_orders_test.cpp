// Orders to load instances: how many, of which function, and where.
#include <gtest/gtest.h>

#include <algorithm>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

TEST(LoadOrders, OneLoadServesAllCallsThatWaitForAFunction) {
  PolicyFixture invoker(make_settings());
  invoker.update_endpoints({host_entry("a"), host_entry("b")});
  invoker.request("x");
  invoker.advance(100);
  invoker.request("y");
  EXPECT_EQ(invoker.loads.size(), 1U);
  invoker.finish_load(invoker.loads[0].host, 1, 1);
  EXPECT_EQ(invoker.sends.size(), 2U);
}

// Regression: with all loads in flight, the next call that arrived took the slot of each load that ended,
// whatever its priority weight: the class with the highest weight was served least.
TEST(LoadOrders, NextLoadIsOfTheWaitingFunctionWithTheHighestPriorityWeight) {
  Settings settings = make_settings();
  settings.classes[2].priority_weight = 9;  // unsafe
  PolicyFixture invoker(settings);
  invoker.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c"), host_entry("d")});
  for (int i = 0; i < 20; ++i)
    invoker.request(numbered("x", i), static_cast<std::uint64_t>(100 + i));
  const auto in_flight = invoker.loads.size();
  ASSERT_LT(in_flight, 20U);  // the limit of loads in flight is reached
  invoker.request("highest weight", 7, "unsafe");
  EXPECT_EQ(invoker.loads.size(), in_flight);
  invoker.finish_load(invoker.loads[0].host, invoker.loads[0].function, 1);
  ASSERT_EQ(invoker.loads.size(), in_flight + 1);
  EXPECT_EQ(invoker.loads.back().function, 7U);
}

TEST(LoadOrders, UnansweredOrderIsReplacedByOneElsewhere) {
  PolicyFixture invoker(make_settings());
  invoker.update_endpoints({host_entry("a"), host_entry("b")});
  invoker.request("x");
  ASSERT_EQ(invoker.loads.size(), 1U);
  invoker.advance(3900);
  ASSERT_GE(invoker.loads.size(), 2U);
}

TEST(LoadOrders, LoadsInFlightAreBounded) {
  PolicyFixture invoker(make_settings());
  invoker.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c"), host_entry("d")});
  for (int i = 0; i < 40; ++i)
    invoker.request(numbered("x", i), static_cast<std::uint64_t>(100 + i));
  invoker.advance(500);
  EXPECT_GE(invoker.loads.size(), 2U);
  EXPECT_LE(invoker.loads.size(), 12U);
}

TEST(LoadOrders, HostReturnedToServiceGetsOneLoadThoughAllIsWarmElsewhere) {
  for (const bool returned : {true, false}) {
    Settings settings = make_settings();
    settings.host_protocol.answers_misses = true;
    settings.load_orders.floor = 6;
    settings.load_orders.window = Millis(10000);
    PolicyFixture invoker(settings);
    invoker.update_endpoints({host_entry("w1"), host_entry("w2")});
    const auto call = [&](int number) {
      invoker.request("r" + std::to_string(number), 1, "safe", 4000, 4);
      ASSERT_EQ(invoker.sends.back().id, "r" + std::to_string(number));
      invoker.answer(invoker.sends.back(), Outcome::ok);
      invoker.advance(100);
    };
    for (int i = 0; i < 10; ++i)
      call(i);
    const std::string warm = invoker.sends.back().host;
    const std::string other = warm == "w1" ? "w2" : "w1";
    const std::size_t before = invoker.sends.size();
    if (returned)
      invoker.update_endpoints({host_entry(other, HostState::draining)}, ListKind::delta);
    auto returned_entry = host_entry(other, HostState::ready, invoker.now.count());
    returned_entry.enabled_by_operator = true;
    if (returned)
      invoker.update_endpoints({returned_entry}, ListKind::delta);
    for (int i = 10; i < 60; ++i) {
      call(i);
      if (!invoker.loads.empty())
        invoker.finish_load(invoker.loads.back().host, 1, 1);
    }
    EXPECT_EQ(invoker.loads.size(), returned ? 1U : 0U);  // one order, although the quota allows more
    const auto went_to_other = [&](const action::Send& send) { return send.host == other; };
    const auto first_new = invoker.sends.begin() + static_cast<std::ptrdiff_t>(before);
    EXPECT_EQ(std::any_of(first_new, invoker.sends.end(), went_to_other), returned);
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
