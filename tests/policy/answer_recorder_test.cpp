// The usual run times that are derived from the answers of hosts.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: with 100 invokers the first answers, slow because of a load, set the usual run time. From then
// on every call that found no instance seemed past its latency objective and was rejected at once.
TEST(AnswerRecorder, FirstAnswersThatWaitedForALoadSetNoBaseline) {
  Settings settings = hundred_invoker_settings();
  settings.host_protocol.answers_misses = true;
  settings.host_protocol.reports_warm_start = false;
  for (auto& call_class : settings.classes)
    call_class.latency_objective = Millis(240);
  PolicyFixture invoker(settings);
  invoker.update_endpoints(numbered_hosts(40));
  for (int i = 0; i < 6; ++i) {
    invoker.request(numbered("x", i), static_cast<std::uint64_t>(i), "safe", 950);
    ASSERT_EQ(invoker.sends.size(), static_cast<std::size_t>(i + 1));
    invoker.answer(invoker.sends.back(), Outcome::ok, 600, Warmth::unknown);
    invoker.advance(100);
  }
  invoker.request("y", 77, "safe", 950);
  ASSERT_EQ(invoker.sends.size(), 7U);
  invoker.answer(invoker.sends.back(), Outcome::no_instance, 1);
  EXPECT_TRUE(invoker.rejected.empty());
  EXPECT_EQ(invoker.loads.size(), 1U);
}

}  // namespace
}  // namespace lotusyard::policy::test
