// Which attempts may be retried, by the semantics of their class.
#include <gtest/gtest.h>

#include <string>
#include <tuple>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Every outcome of an attempt, for calls of every semantics.
class AttemptOutcome : public ::testing::TestWithParam<std::tuple<Outcome, std::string>> {};

TEST_P(AttemptOutcome, IsRetriedAsTheSemanticsAllow) {
  const auto [outcome, call_class] = GetParam();
  const bool never_ran = outcome == Outcome::at_capacity || outcome == Outcome::connect_failed ||
                         outcome == Outcome::never_ran || outcome == Outcome::no_instance;
  RouterFixture router = make_warm_router();
  router.request("x", 1, call_class);
  const auto before = router.sends.size();
  ASSERT_EQ(router.sends.back().id, "x");
  router.answer(router.sends.back(), outcome);
  router.advance(5000);
  EXPECT_FALSE(router.broke_rule);
  if (call_class == "unsafe" && !never_ran) {
    EXPECT_EQ(router.sends.size(), before);
    EXPECT_EQ(router.failed, std::vector<std::string>{"x"});
    EXPECT_TRUE(router.rejected.empty());
  }
  EXPECT_LE(router.attempts["x"], 3);
}

INSTANTIATE_TEST_SUITE_P(All, AttemptOutcome,
                         ::testing::Combine(::testing::Values(Outcome::error, Outcome::at_capacity,
                                                              Outcome::timeout, Outcome::connect_failed,
                                                              Outcome::reset, Outcome::cancelled,
                                                              Outcome::never_ran, Outcome::no_instance),
                                            ::testing::Values("safe", "keyed", "unsafe")));

TEST(RetryRules, KeyedRequestIsNotRetriedAfterItsKeyWindow) {
  for (const double wait : {500.0, 1997.0}) {
    RouterFixture router = make_warm_router();
    router.request("x", 1, "keyed");
    const auto before = router.sends.size();
    router.now += Millis(wait);
    router.answer(router.sends.back(), Outcome::error);
    EXPECT_EQ(router.sends.size() > before, wait < 1500);
    EXPECT_EQ(router.failed.size(), wait < 1500 ? 0U : 1U);
    EXPECT_TRUE(router.rejected.empty());
  }
}

// Within its key window but past its objective it is not sent again; its scope allows the rejection.
TEST(RetryRules, KeyedRequestPastItsLatencyObjectiveIsRejected) {
  RouterFixture router = make_warm_router();
  router.request("x", 1, "keyed");
  const auto before = router.sends.size();
  router.now += Millis(1000);
  router.answer(router.sends.back(), Outcome::error);
  EXPECT_EQ(router.sends.size(), before);
  EXPECT_EQ(router.rejected.size(), 1U);
  EXPECT_TRUE(router.failed.empty());
}

TEST(RetryRules, KeyedRequestStaysInItsCell) {
  Settings settings = make_settings();
  settings.classes[1].scope = KeyScope::cell;
  RouterFixture router(settings);
  auto other = host_entry("b");
  other.cell = 9;
  router.update_endpoints({host_entry("a"), other});
  router.request("x", 1, "keyed");
  router.finish_load("a", 1, 1);
  router.finish_load("b", 1, 1);
  const auto first = router.sends.at(0).host;
  router.answer(router.sends[0], Outcome::error);
  router.advance(4000);
  for (const auto& send : router.sends)
    EXPECT_EQ(send.host, first);
  EXPECT_TRUE(router.rejected.empty());
  EXPECT_EQ(router.answered.size(), 1U);
}

}  // namespace
}  // namespace lotusyard::policy::test
