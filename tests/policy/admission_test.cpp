// When a call is rejected in place of waiting on, and what the client is told.
#include <gtest/gtest.h>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression (L05b3a2): abandoned calls were answered only at their deadline, without a Retry-After.
TEST(Admission, RejectionIsImmediateWithRetryAfterWithinTheLimit) {
  Settings settings = make_settings();
  settings.rejections.sends_retry_after = true;
  settings.rejections.max_retry_after = Millis(300);
  settings.retries.max_attempts = 1;
  for (const char* call_class : {"safe", "unsafe"}) {
    RouterFixture router = make_warm_router(settings);
    router.request("x", 1, call_class);
    router.answer(router.sends.back(), Outcome::error);
    const bool may_be_rejected = std::string(call_class) == "safe";
    ASSERT_EQ(router.rejected.size(), may_be_rejected ? 1U : 0U);
    ASSERT_EQ(router.failed.size(), may_be_rejected ? 0U : 1U);
    if (!may_be_rejected)
      continue;
    EXPECT_GT(router.retry_after.back().count(), 0);
    EXPECT_LE(router.retry_after.back().count(), 300);
  }
  settings.rejections.sends_retry_after = false;
  RouterFixture router(settings);
  router.update_endpoints({});
  router.request("x");
  router.advance(4000);
  ASSERT_EQ(router.retry_after.size(), 1U);
  EXPECT_EQ(router.retry_after[0].count(), 0);
}

TEST(Admission, WaitingCallIsRejectedOnceItsLatencyObjectiveHasPassed) {
  RouterFixture router;
  router.update_endpoints({});  // nothing can serve it
  router.request("x");
  router.advance(900);
  EXPECT_TRUE(router.rejected.empty());
  router.advance(150);
  EXPECT_EQ(router.rejected.size(), 1U);
}

// Regression (L05b3a2): a client's retry waited as if its latency objective began anew.
TEST(Admission, ClientRetryKeepsTheLatencyObjectiveOfItsFirstTry) {
  RouterFixture router;
  router.update_endpoints({});
  router.request("first", 1, "safe", 4000);
  router.request("later", 2, "safe", 2900);  // 1100 ms after its first try, past the objective of 1000 ms
  router.advance(30);
  EXPECT_EQ(router.rejected, std::vector<std::string>{"later"});
}

}  // namespace
}  // namespace lotusyard::policy::test
