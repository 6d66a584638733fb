// The course of a request: it is answered once, in time, whatever happens to its attempts.
#include <gtest/gtest.h>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

TEST(CallRouter, FreedLaneServesTheHeadOfItsQueue) {
  RouterFixture router = make_warm_router();
  router.request("l1");
  router.request("l2");
  router.request("w1");
  EXPECT_EQ(router.sends.size(), 3U);
  router.answer(router.sends[1], Outcome::ok);
  ASSERT_EQ(router.sends.size(), 4U);
  EXPECT_EQ(router.sends[3].id, "w1");
}

// Regression: impatient clients disconnected and came back while hosts still served what nobody waited
// for.
TEST(CallRouter, AttemptOfADisconnectedClientIsCancelled) {
  Settings settings = make_settings();
  settings.host_protocol.cancels = true;
  RouterFixture router = make_warm_router(settings);
  router.request("x");
  router.handle(event::ClientDisconnected{"x"});
  ASSERT_EQ(router.cancels.size(), 1U);
  EXPECT_EQ(router.cancels[0].id, "x");
  router.advance(5000);
  EXPECT_EQ(router.answered.count("x"), 0U);
}

TEST(CallRouter, EveryRequestIsAnsweredInTimeWithoutHosts) {
  RouterFixture router(make_settings());
  router.update_endpoints({});
  for (int i = 0; i < 10; ++i)
    router.request(numbered("x", i), 1, i % 2 ? "unsafe" : "safe", 500);
  router.advance(500);
  EXPECT_EQ(router.answered.size(), 10U);
  EXPECT_FALSE(router.broke_rule);
}

TEST(CallRouter, UnansweredAttemptOrLoadDoesNotLoseARequest) {
  for (const bool miss : {false, true}) {
    Settings settings = make_settings();
    settings.host_protocol.answers_misses = miss;
    RouterFixture router = make_warm_router(settings);
    router.request("x", 1, "unsafe");
    router.request("y", 2, "safe");
    router.advance(4000);
    EXPECT_EQ(router.answered.count("x"), 1U);
    EXPECT_EQ(router.answered.count("y"), 1U);
    EXPECT_FALSE(router.broke_rule);
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
