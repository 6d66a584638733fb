// Whether a further load of a function pays.
#include <gtest/gtest.h>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: orders that found their instance loaded took a millisecond, and so did the estimated load
// time: every queue justified a load, all at once, for functions that were loaded elsewhere.
TEST(LoadEstimator, OrderThatFoundItsInstanceLoadedIsNoSampleOfTheLoadTime) {
  for (const double load_ms : {1500.0, 1.0}) {
    Settings settings = make_settings();
    settings.host_protocol.reports_warm_start = false;
    RouterFixture router(settings);
    router.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
    // One call, on an instance that an order loaded or found.
    const auto serve = [&](std::uint64_t function) {
      const auto loads = router.loads.size();
      router.request("f" + std::to_string(function), function, "safe", 4000, 1);
      ASSERT_EQ(router.loads.size(), loads + 1);
      router.handle(event::Loaded{router.loads.back().host, function, Outcome::ok,
                                  Millis(function == 1 ? 1500.0 : load_ms), 1});
      router.answer(router.sends.back(), Outcome::ok, 100, Warmth::unknown);
    };
    for (std::uint64_t function = 1; function < 20; ++function)
      serve(function);
    const auto loads = router.loads.size();
    for (int i = 0; i < 5; ++i)
      router.request("q" + std::to_string(i), 19, "safe", 4000, 1);
    EXPECT_EQ(router.loads.size(), loads) << load_ms;  // four wait for a lane: a load takes fifteen runs
  }
}

// With K = 2 lanes, a run time R = 100 ms and a load time L = min(500, objective - R) = 500 ms (as its
// order took), L K / R = 10 calls may wait; the eleventh starts a load (E = N + 1 - L K / R).
TEST(LoadEstimator, FurtherLoadStartsOnlyOnceMoreCallsWaitThanTheLanesServeMeanwhile) {
  RouterFixture router = make_warm_router();
  router.request("l1");
  router.request("l2");
  for (int i = 1; i <= 10; ++i)
    router.request(numbered("w", i));
  EXPECT_EQ(router.loads.size(), 1U);
  router.request("w11");
  ASSERT_EQ(router.loads.size(), 2U);
  EXPECT_NE(router.loads[1].host, first_host(router));
}

TEST(LoadEstimator, LanesOnAHostFullOfOtherCallsAreNotCounted) {
  RouterFixture router;
  router.update_endpoints({host_entry("w1")});
  for (const std::uint64_t function : {1, 2}) {
    router.request("warm" + std::to_string(function), function, "safe", 4000, 16);
    router.finish_load("w1", function, 1);
    ASSERT_EQ(router.sends.size(), function);
    router.answer(router.sends.back(), Outcome::ok);
  }
  router.update_endpoints({host_entry("w2")}, ListKind::delta);
  for (int i = 0; i < 20; ++i)
    router.request("other" + std::to_string(i), 2, "safe", 4000, 16);
  const auto loads = router.loads.size();
  const auto sends = router.sends.size();
  router.request("a", 1, "safe", 4000, 16);
  EXPECT_EQ(router.sends.size(), sends);  // its instance is on a host without capacity for a further call
  ASSERT_EQ(router.loads.size(), loads + 1);
  EXPECT_EQ(router.loads.back().host, "w2");
  EXPECT_EQ(router.loads.back().function, 1U);
}

}  // namespace
}  // namespace lotusyard::policy::test
