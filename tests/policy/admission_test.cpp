// When a waiting call is rejected, and with which Retry-After.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: abandoned calls were answered only at their deadline, without a Retry-After.
TEST(Admission, RejectionIsImmediateWithRetryAfterWithinTheLimit) {
  Settings settings = make_settings();
  settings.rejections.sends_retry_after = true;
  settings.rejections.max_retry_after = Millis(300);
  settings.retries.max_attempts = 1;
  for (const char* call_class : {"safe", "unsafe"}) {
    PolicyFixture invoker = make_warm_invoker(settings);
    invoker.request("x", 1, call_class);
    invoker.answer(invoker.sends.back(), Outcome::error);
    const bool may_be_rejected = std::string(call_class) == "safe";
    ASSERT_EQ(invoker.rejected.size(), may_be_rejected ? 1U : 0U);
    ASSERT_EQ(invoker.failed.size(), may_be_rejected ? 0U : 1U);
    if (!may_be_rejected)
      continue;
    EXPECT_GT(invoker.retry_after.back().count(), 0);
    EXPECT_LE(invoker.retry_after.back().count(), 300);
  }
  settings.rejections.sends_retry_after = false;
  PolicyFixture invoker(settings);
  invoker.update_endpoints({});
  invoker.request("x");
  invoker.advance(4000);
  ASSERT_EQ(invoker.retry_after.size(), 1U);
  EXPECT_EQ(invoker.retry_after[0].count(), 0);
}

TEST(Admission, WaitingCallIsRejectedOnceItsLatencyObjectiveHasPassed) {
  PolicyFixture invoker;
  invoker.update_endpoints({});  // nothing can serve it
  invoker.request("x");
  invoker.advance(900);
  EXPECT_TRUE(invoker.rejected.empty());
  invoker.advance(150);
  EXPECT_EQ(invoker.rejected.size(), 1U);
}

// Regression: the latency objective of a client's retry started again, so that the retry waited too long.
TEST(Admission, ClientRetryKeepsTheLatencyObjectiveOfItsFirstTry) {
  PolicyFixture invoker;
  invoker.update_endpoints({});
  invoker.request("first", 1, "safe", 4000);
  invoker.request("later", 2, "safe", 2900);  // 1100 ms after its first try, past the objective of 1000 ms
  invoker.advance(30);
  EXPECT_EQ(invoker.rejected, std::vector<std::string>{"later"});
}

}  // namespace
}  // namespace lotusyard::policy::test
