// Which host a call goes to.
#include <gtest/gtest.h>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Ends the latest attempt; its host reports `inflight` calls.
void answer_with_report(RouterFixture& router, double inflight, Outcome outcome) {
  const auto& send = router.sends.back();
  event::AttemptEnded answer;
  answer.id = send.id;
  answer.host = send.host;
  answer.attempt = router.attempts[send.id] - 1;
  answer.outcome = outcome;
  answer.call_ended = outcome == Outcome::ok;
  answer.elapsed = Millis(outcome == Outcome::ok ? 60 : 1);
  answer.host_concurrency = 4;
  answer.report = std::vector<double>{inflight};
  router.handle(answer);
}

// Regression: each of 100 routers kept to the first warm host of a function, so that some hosts queued a
// dozen calls all day beside idle ones. Load reports show it; a miss on the further host goes back at
// once.
TEST(HostSelector, CallLeavesABusyHostForOneThatReportsCapacity) {
  Settings settings = hundred_router_settings();
  settings.invokers = 20;
  settings.host_protocol.answers_misses = true;
  settings.host_protocol.reports_warm_start = false;
  settings.load_reports.mode = ReportMode::answers;
  settings.load_reports.fields = {ReportField::inflight};
  RouterFixture router(settings);
  auto hosts = numbered_hosts(40);
  for (auto& host : hosts)
    host.weight = 2;
  router.update_endpoints(hosts);
  const auto answer = [&](double inflight, Outcome outcome = Outcome::ok, double pause_ms = 1000) {
    answer_with_report(router, inflight, outcome);
    router.advance(pause_ms);
  };
  router.request("first", 1, "safe", 4000, 4);
  const std::string first = router.sends.back().host;
  answer(1);
  for (int i = 0; i < 4; ++i) {  // other functions show that most hosts are idle
    router.request(numbered("other", i), static_cast<std::uint64_t>(i + 50));
    answer(0);
  }
  router.request("again", 1, "safe", 4000, 4);
  EXPECT_EQ(router.sends.back().host, first);
  answer(14);
  router.request("spilled", 1, "safe", 4000, 4);
  const std::string further = router.sends.back().host;
  EXPECT_NE(further, first);
  answer(0, Outcome::no_instance, 1);
  EXPECT_EQ(router.sends.back().id, "spilled");  // at once, where an instance is known
  EXPECT_EQ(router.sends.back().host, first);
  ASSERT_EQ(router.loads.size(), 1U);  // so that later calls find one there
  EXPECT_EQ(router.loads[0].host, further);
  answer(14);
  router.finish_load(further, 1, 1);
  router.request("finds", 1, "safe", 4000, 4);
  EXPECT_EQ(router.sends.back().host, further);
  EXPECT_FALSE(router.broke_rule);
}

}  // namespace
}  // namespace lotusyard::policy::test
