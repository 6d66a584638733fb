// How many calls a host gets: after it was at capacity or slow, or reported its load.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: calls waited until their deadlines for lanes of a host that rejected them.
TEST(HostLoad, CallsDoNotWaitForLanesOfAHostAtCapacity) {
  Settings settings = make_settings();
  settings.invokers = 100;
  PolicyFixture invoker(settings);
  invoker.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
  invoker.request("first");
  ASSERT_EQ(invoker.sends.size(), 1U);
  invoker.answer(invoker.sends[0], Outcome::ok);
  invoker.request("x");
  ASSERT_EQ(invoker.sends.size(), 2U);
  invoker.answer(invoker.sends[1], Outcome::at_capacity);
  ASSERT_EQ(invoker.sends.size(), 3U);
  EXPECT_NE(invoker.sends[2].host, invoker.sends[1].host);
}

// Regression: calls that were rejected at capacity were sent again at once, five attempts per request.
TEST(HostLoad, HostAtCapacityGetsNoCallForAWhile) {
  PolicyFixture invoker = make_warm_invoker();
  invoker.request("x");
  invoker.answer(invoker.sends.back(), Outcome::at_capacity);
  const auto before = invoker.sends.size();
  invoker.advance(20);
  EXPECT_EQ(invoker.sends.size(), before);
  invoker.advance(100);
  EXPECT_EQ(invoker.sends.size(), before + 1);
}

// Regression: calls piled up on a host that served them all late.
TEST(HostLoad, HostWithStretchedRunTimesGetsFewerCalls) {
  PolicyFixture invoker = make_warm_invoker(make_settings(), 16);
  for (int i = 0; i < 8; ++i) {
    invoker.request(numbered("slow", i));
    invoker.advance(100);
    invoker.answer(invoker.sends.back(), Outcome::ok, 900);
  }
  const auto before = invoker.sends.size();
  for (int i = 0; i < 12; ++i)
    invoker.request(numbered("burst", i));
  EXPECT_LE(invoker.sends.size(), before + 4);
}

// Regression: the lowest average run time counted as that of an idle host for minutes. Where run times vary
// much it is a fraction of the mean, so all hosts seemed overloaded and calls were rejected although hosts
// were idle. With many invokers, each with few answers, a baseline that adapts as fast would treat a long
// overload as the usual load.
TEST(HostLoad, FewShortRunsDoNotMakeLaterOnesLookOverloadedButALongOverloadDoes) {
  for (const int invokers : {1, 100}) {
    Settings settings = make_settings();
    settings.host_protocol.reports_warm_start = false;
    settings.invokers = invokers;
    PolicyFixture invoker(settings);
    invoker.update_endpoints({host_entry("w")});
    invoker.request("first", 1, "safe", 4000, 8);
    if (!invoker.loads.empty())
      invoker.finish_load("w", 1, 1);
    invoker.answer(invoker.sends.back(), Outcome::ok, 20, Warmth::unknown);
    for (int i = 0; i < 120; ++i) {
      const auto sends = invoker.sends.size();
      invoker.request(numbered("y", i), 1, "safe", 4000, 8);
      if (invoker.sends.size() > sends)
        invoker.answer(invoker.sends.back(), Outcome::ok, i < 20 ? 20 : 80, Warmth::unknown);
      invoker.advance(100);
    }
    const auto sends = invoker.sends.size();
    for (int i = 0; i < 6; ++i)
      invoker.request(numbered("z", i), 1, "safe", 4000, 8);
    EXPECT_EQ(invoker.sends.size() >= sends + 3, invokers == 1)
        << invokers << ' ' << invoker.sends.size() - sends;
  }
}

// The same number of calls overloads a small host and leaves a large one mostly idle.
TEST(HostLoad, ReportedUtilisationDecidesHowManyCallsAHostGets) {
  for (const double utilisation : {0.25, 0.9}) {
    Settings settings = make_settings();
    settings.load_reports.mode = ReportMode::answers;
    settings.load_reports.fields = {ReportField::utilisation, ReportField::inflight, ReportField::loading};
    PolicyFixture invoker(settings);
    invoker.update_endpoints({host_entry("w")});
    invoker.request("first", 1, "safe", 4000, 64);
    invoker.finish_load("w", 1, 1);
    ASSERT_EQ(invoker.sends.size(), 1U);
    invoker.handle(
        event::AttemptEnded{"first", "w", 0, Outcome::ok, Warmth::warm, 0, true, Millis(100),
                            std::vector<double>{0, 0, 0}});  // reports of an idle host show no concurrency
    invoker.request("second", 1, "safe", 4000, 64);
    ASSERT_EQ(invoker.sends.size(), 2U);
    invoker.handle(event::AttemptEnded{"second", "w", 0, Outcome::ok, Warmth::warm, 0, true, Millis(100),
                                       std::vector<double>{utilisation, 14, 0}});
    for (int i = 0; i < 5; ++i)
      invoker.request(numbered("more", i), 1, "safe", 4000, 64);
    EXPECT_EQ(invoker.sends.size() == 7, utilisation < 0.5) << utilisation;
    EXPECT_FALSE(invoker.has_violation);
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
