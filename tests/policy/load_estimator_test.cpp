// Whether another load of a function pays.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: orders that found their instance loaded took a millisecond, which became the estimated load
// time. Then every queue justified a load, even of functions that were loaded elsewhere.
TEST(LoadEstimator, OrderThatFoundItsInstanceLoadedIsNoSampleOfTheLoadTime) {
  for (const double load_ms : {1500.0, 1.0}) {
    Settings settings = make_settings();
    settings.host_protocol.reports_warm_start = false;
    PolicyFixture invoker(settings);
    invoker.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
    // Serves one call, on an instance that an order loaded or found.
    const auto serve = [&](std::uint64_t function) {
      const auto loads = invoker.loads.size();
      invoker.request("f" + std::to_string(function), function, "safe", 4000, 1);
      ASSERT_EQ(invoker.loads.size(), loads + 1);
      invoker.handle(event::Loaded{invoker.loads.back().host, function, Outcome::ok,
                                   Millis(function == 1 ? 1500.0 : load_ms), 1});
      invoker.answer(invoker.sends.back(), Outcome::ok, 100, Warmth::unknown);
    };
    for (std::uint64_t function = 1; function < 20; ++function)
      serve(function);
    const auto loads = invoker.loads.size();
    for (int i = 0; i < 5; ++i)
      invoker.request("q" + std::to_string(i), 19, "safe", 4000, 1);
    EXPECT_EQ(invoker.loads.size(), loads) << load_ms;  // four wait for a lane: a load takes fifteen runs
  }
}

// With K = 2 lanes, a run time R = 100 ms and a load time L = min(500, objective - R) = 500 ms (as its
// order took), L K / R = 10 calls may wait; the eleventh starts a load (E = N + 1 - L K / R).
TEST(LoadEstimator, FurtherLoadStartsOnlyOnceMoreCallsWaitThanTheLanesServeMeanwhile) {
  PolicyFixture invoker = make_warm_invoker();
  invoker.request("l1");
  invoker.request("l2");
  for (int i = 1; i <= 10; ++i)
    invoker.request(numbered("w", i));
  EXPECT_EQ(invoker.loads.size(), 1U);
  invoker.request("w11");
  ASSERT_EQ(invoker.loads.size(), 2U);
  EXPECT_NE(invoker.loads[1].host, first_host(invoker));
}

TEST(LoadEstimator, LanesOnAHostFullOfOtherCallsAreNotCounted) {
  PolicyFixture invoker;
  invoker.update_endpoints({host_entry("w1")});
  for (const std::uint64_t function : {1, 2}) {
    invoker.request("warm" + std::to_string(function), function, "safe", 4000, 16);
    invoker.finish_load("w1", function, 1);
    ASSERT_EQ(invoker.sends.size(), function);
    invoker.answer(invoker.sends.back(), Outcome::ok);
  }
  invoker.update_endpoints({host_entry("w2")}, ListKind::delta);
  for (int i = 0; i < 20; ++i)
    invoker.request("other" + std::to_string(i), 2, "safe", 4000, 16);
  const auto loads = invoker.loads.size();
  const auto sends = invoker.sends.size();
  invoker.request("a", 1, "safe", 4000, 16);
  EXPECT_EQ(invoker.sends.size(), sends);  // its instance is on a host without capacity for a further call
  ASSERT_EQ(invoker.loads.size(), loads + 1);
  EXPECT_EQ(invoker.loads.back().host, "w2");
  EXPECT_EQ(invoker.loads.back().function, 1U);
}

}  // namespace
}  // namespace lotusyard::policy::test
