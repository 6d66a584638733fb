// Which attempts may be retried, by the semantics of their class.
#include <gtest/gtest.h>

#include <string>
#include <tuple>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Every outcome of an attempt, for calls of every semantics.
class AttemptOutcome : public ::testing::TestWithParam<std::tuple<Outcome, std::string>> {};

TEST_P(AttemptOutcome, IsRetriedAsTheSemanticsAllow) {
  const auto [outcome, call_class] = GetParam();
  const bool never_ran = outcome == Outcome::at_capacity || outcome == Outcome::connect_failed ||
                         outcome == Outcome::never_ran || outcome == Outcome::no_instance;
  PolicyFixture invoker = make_warm_invoker();
  invoker.request("x", 1, call_class);
  const auto before = invoker.sends.size();
  ASSERT_EQ(invoker.sends.back().id, "x");
  invoker.answer(invoker.sends.back(), outcome);
  invoker.advance(5000);
  EXPECT_FALSE(invoker.has_violation);
  if (call_class == "unsafe" && !never_ran) {
    EXPECT_EQ(invoker.sends.size(), before);
    EXPECT_EQ(invoker.failed, std::vector<std::string>{"x"});
    EXPECT_TRUE(invoker.rejected.empty());
  }
  EXPECT_LE(invoker.attempts["x"], 3);
}

INSTANTIATE_TEST_SUITE_P(All, AttemptOutcome,
                         ::testing::Combine(::testing::Values(Outcome::error, Outcome::at_capacity,
                                                              Outcome::timeout, Outcome::connect_failed,
                                                              Outcome::reset, Outcome::cancelled,
                                                              Outcome::never_ran, Outcome::no_instance),
                                            ::testing::Values("safe", "keyed", "unsafe")));

TEST(RetryRules, KeyedRequestIsNotRetriedAfterItsKeyWindow) {
  for (const double wait : {500.0, 1997.0}) {
    PolicyFixture invoker = make_warm_invoker();
    invoker.request("x", 1, "keyed");
    const auto before = invoker.sends.size();
    invoker.now += Millis(wait);
    invoker.answer(invoker.sends.back(), Outcome::error);
    EXPECT_EQ(invoker.sends.size() > before, wait < 1500);
    EXPECT_EQ(invoker.failed.size(), wait < 1500 ? 0U : 1U);
    EXPECT_TRUE(invoker.rejected.empty());
  }
}

// Within its key window but past its objective, it is not sent again; the scope of its key allows the
// rejection.
TEST(RetryRules, KeyedRequestPastItsLatencyObjectiveIsRejected) {
  PolicyFixture invoker = make_warm_invoker();
  invoker.request("x", 1, "keyed");
  const auto before = invoker.sends.size();
  invoker.now += Millis(1000);
  invoker.answer(invoker.sends.back(), Outcome::error);
  EXPECT_EQ(invoker.sends.size(), before);
  EXPECT_EQ(invoker.rejected.size(), 1U);
  EXPECT_TRUE(invoker.failed.empty());
}

TEST(RetryRules, KeyedRequestStaysInItsCell) {
  Settings settings = make_settings();
  settings.classes[1].scope = KeyScope::cell;
  PolicyFixture invoker(settings);
  auto other = host_entry("b");
  other.cell = 9;
  invoker.update_endpoints({host_entry("a"), other});
  invoker.request("x", 1, "keyed");
  invoker.finish_load("a", 1, 1);
  invoker.finish_load("b", 1, 1);
  const auto first = invoker.sends.at(0).host;
  invoker.answer(invoker.sends[0], Outcome::error);
  invoker.advance(4000);
  for (const auto& send : invoker.sends)
    EXPECT_EQ(send.host, first);
  EXPECT_TRUE(invoker.rejected.empty());
  EXPECT_EQ(invoker.answered.size(), 1U);
}

}  // namespace
}  // namespace lotusyard::policy::test
