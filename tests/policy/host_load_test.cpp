// How many calls a host gets: after it was at capacity, slow, or reported its load.
#include <gtest/gtest.h>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression (L05b3a2): calls waited until their deadlines for lanes of a host that rejected them.
TEST(HostLoad, CallsDoNotWaitForLanesOfAHostAtCapacity) {
  Settings settings = make_settings();
  settings.invokers = 100;
  RouterFixture router(settings);
  router.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
  router.request("first");
  ASSERT_EQ(router.sends.size(), 1U);
  router.answer(router.sends[0], Outcome::ok);
  router.request("x");
  ASSERT_EQ(router.sends.size(), 2U);
  router.answer(router.sends[1], Outcome::at_capacity);
  ASSERT_EQ(router.sends.size(), 3U);
  EXPECT_NE(router.sends[2].host, router.sends[1].host);
}

// Regression: calls that were rejected at capacity went out again at once, five attempts a request.
TEST(HostLoad, HostAtCapacityGetsNoCallForAWhile) {
  RouterFixture router = make_warm_router();
  router.request("x");
  router.answer(router.sends.back(), Outcome::at_capacity);
  const auto before = router.sends.size();
  router.advance(20);
  EXPECT_EQ(router.sends.size(), before);
  router.advance(100);
  EXPECT_EQ(router.sends.size(), before + 1);
}

// Regression: calls piled up on a host that served them all late.
TEST(HostLoad, HostWithStretchedRunTimesGetsFewerCalls) {
  RouterFixture router = make_warm_router(make_settings(), 16);
  for (int i = 0; i < 8; ++i) {
    router.request(numbered("slow", i));
    router.advance(100);
    router.answer(router.sends.back(), Outcome::ok, 900);
  }
  const auto before = router.sends.size();
  for (int i = 0; i < 12; ++i)
    router.request(numbered("burst", i));
  EXPECT_LE(router.sends.size(), before + 4);
}

// Regression: the least average run time ever seen counted as that of an idle host for minutes. Where run
// times vary much it is a fraction of the mean, so all hosts looked overloaded and calls were rejected
// beside idle ones. With many routers, each with few answers, a baseline that followed the answers that
// fast took a long overload for the usual load.
TEST(HostLoad, FewShortRunsDoNotMakeLaterOnesLookOverloadedButALongOverloadDoes) {
  for (const int routers : {1, 100}) {
    Settings settings = make_settings();
    settings.host_protocol.reports_warm_start = false;
    settings.invokers = routers;
    RouterFixture router(settings);
    router.update_endpoints({host_entry("w")});
    router.request("first", 1, "safe", 4000, 8);
    if (!router.loads.empty())
      router.finish_load("w", 1, 1);
    router.answer(router.sends.back(), Outcome::ok, 20, Warmth::unknown);
    for (int i = 0; i < 120; ++i) {
      const auto sends = router.sends.size();
      router.request(numbered("y", i), 1, "safe", 4000, 8);
      if (router.sends.size() > sends)
        router.answer(router.sends.back(), Outcome::ok, i < 20 ? 20 : 80, Warmth::unknown);
      router.advance(100);
    }
    const auto sends = router.sends.size();
    for (int i = 0; i < 6; ++i)
      router.request(numbered("z", i), 1, "safe", 4000, 8);
    EXPECT_EQ(router.sends.size() >= sends + 3, routers == 1)
        << routers << ' ' << router.sends.size() - sends;
  }
}

// The same number of calls overloads a small host and leaves a large one mostly idle.
TEST(HostLoad, ReportedUtilisationDecidesHowManyCallsAHostGets) {
  for (const double utilisation : {0.25, 0.9}) {
    Settings settings = make_settings();
    settings.load_reports.mode = ReportMode::answers;
    settings.load_reports.fields = {ReportField::utilisation, ReportField::inflight, ReportField::loading};
    RouterFixture router(settings);
    router.update_endpoints({host_entry("w")});
    router.request("first", 1, "safe", 4000, 64);
    router.finish_load("w", 1, 1);
    ASSERT_EQ(router.sends.size(), 1U);
    router.handle(
        event::AttemptEnded{"first", "w", 0, Outcome::ok, Warmth::warm, 0, true, Millis(100),
                            std::vector<double>{0, 0, 0}});  // an idle host reports nothing useful yet
    router.request("second", 1, "safe", 4000, 64);
    ASSERT_EQ(router.sends.size(), 2U);
    router.handle(event::AttemptEnded{"second", "w", 0, Outcome::ok, Warmth::warm, 0, true, Millis(100),
                                      std::vector<double>{utilisation, 14, 0}});
    for (int i = 0; i < 5; ++i)
      router.request(numbered("more", i), 1, "safe", 4000, 64);
    EXPECT_EQ(router.sends.size() == 7, utilisation < 0.5) << utilisation;
    EXPECT_FALSE(router.broke_rule);
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
