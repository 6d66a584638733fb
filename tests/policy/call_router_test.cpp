// Every request is answered once, in time, whatever happens to its attempts.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

TEST(CallRouter, FreedLaneServesTheHeadOfItsQueue) {
  PolicyFixture invoker = make_warm_invoker();
  invoker.request("l1");
  invoker.request("l2");
  invoker.request("w1");
  EXPECT_EQ(invoker.sends.size(), 3U);
  invoker.answer(invoker.sends[1], Outcome::ok);
  ASSERT_EQ(invoker.sends.size(), 4U);
  EXPECT_EQ(invoker.sends[3].id, "w1");
}

// Regression: clients disconnected and retried while hosts were still busy with the calls that nobody waited
// for.
TEST(CallRouter, AttemptOfADisconnectedClientIsCancelled) {
  Settings settings = make_settings();
  settings.host_protocol.cancels = true;
  PolicyFixture invoker = make_warm_invoker(settings);
  invoker.request("x");
  invoker.handle(event::ClientDisconnected{"x"});
  ASSERT_EQ(invoker.cancels.size(), 1U);
  EXPECT_EQ(invoker.cancels[0].id, "x");
  invoker.advance(5000);
  EXPECT_EQ(invoker.answered.count("x"), 0U);
}

TEST(CallRouter, EveryRequestIsAnsweredInTimeWithoutHosts) {
  PolicyFixture invoker(make_settings());
  invoker.update_endpoints({});
  for (int i = 0; i < 10; ++i)
    invoker.request(numbered("x", i), 1, i % 2 ? "unsafe" : "safe", 500);
  invoker.advance(500);
  EXPECT_EQ(invoker.answered.size(), 10U);
  EXPECT_FALSE(invoker.has_violation);
}

TEST(CallRouter, UnansweredAttemptOrLoadDoesNotLoseARequest) {
  for (const bool miss : {false, true}) {
    Settings settings = make_settings();
    settings.host_protocol.answers_misses = miss;
    PolicyFixture invoker = make_warm_invoker(settings);
    invoker.request("x", 1, "unsafe");
    invoker.request("y", 2, "safe");
    invoker.advance(4000);
    EXPECT_EQ(invoker.answered.count("x"), 1U);
    EXPECT_EQ(invoker.answered.count("y"), 1U);
    EXPECT_FALSE(invoker.has_violation);
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
