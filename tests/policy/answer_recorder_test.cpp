// What the answers of hosts teach about usual run times.
#include <gtest/gtest.h>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: on a day of 100 routers the first answers, slow because of a load, were taken for the usual
// run time. Every call that found no instance then seemed past its latency objective and was rejected at
// once, the whole day long.
TEST(AnswerRecorder, FirstAnswersThatWaitedForALoadSetNoBaseline) {
  Settings settings = hundred_router_settings();
  settings.host_protocol.answers_misses = true;
  settings.host_protocol.reports_warm_start = false;
  for (auto& call_class : settings.classes)
    call_class.latency_objective = Millis(240);
  RouterFixture router(settings);
  router.update_endpoints(numbered_hosts(40));
  for (int i = 0; i < 6; ++i) {
    router.request(numbered("x", i), static_cast<std::uint64_t>(i), "safe", 950);
    ASSERT_EQ(router.sends.size(), static_cast<std::size_t>(i + 1));
    router.answer(router.sends.back(), Outcome::ok, 600, Warmth::unknown);
    router.advance(100);
  }
  router.request("y", 77, "safe", 950);
  ASSERT_EQ(router.sends.size(), 7U);
  router.answer(router.sends.back(), Outcome::no_instance, 1);
  EXPECT_TRUE(router.rejected.empty());
  EXPECT_EQ(router.loads.size(), 1U);
}

}  // namespace
}  // namespace lotusyard::policy::test
