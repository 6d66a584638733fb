// The selection of a host for a call.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Ends the latest attempt; its host reports `inflight` calls.
void answer_with_report(PolicyFixture& invoker, double inflight, Outcome outcome) {
  const auto& send = invoker.sends.back();
  event::AttemptEnded answer;
  answer.id = send.id;
  answer.host = send.host;
  answer.attempt = invoker.attempts[send.id] - 1;
  answer.outcome = outcome;
  answer.call_ended = outcome == Outcome::ok;
  answer.elapsed = Millis(outcome == Outcome::ok ? 60 : 1);
  answer.host_concurrency = 4;
  answer.report = std::vector<double>{inflight};
  invoker.handle(answer);
}

// Regression: each of 100 invokers always used the first warm host of a function, so that some hosts queued a
// dozen calls beside idle ones. Load reports show this; a miss on the further host is retried on the first at
// once.
TEST(HostSelector, CallLeavesABusyHostForOneThatReportsCapacity) {
  Settings settings = hundred_invoker_settings();
  settings.invokers = 20;
  settings.host_protocol.answers_misses = true;
  settings.host_protocol.reports_warm_start = false;
  settings.load_reports.mode = ReportMode::answers;
  settings.load_reports.fields = {ReportField::inflight};
  PolicyFixture invoker(settings);
  auto hosts = numbered_hosts(40);
  for (auto& host : hosts)
    host.weight = 2;
  invoker.update_endpoints(hosts);
  const auto answer = [&](double inflight, Outcome outcome = Outcome::ok, double pause_ms = 1000) {
    answer_with_report(invoker, inflight, outcome);
    invoker.advance(pause_ms);
  };
  invoker.request("first", 1, "safe", 4000, 4);
  const std::string first = invoker.sends.back().host;
  answer(1);
  for (int i = 0; i < 4; ++i) {  // other functions show that most hosts are idle
    invoker.request(numbered("other", i), static_cast<std::uint64_t>(i + 50));
    answer(0);
  }
  invoker.request("again", 1, "safe", 4000, 4);
  EXPECT_EQ(invoker.sends.back().host, first);
  answer(14);
  invoker.request("spilled", 1, "safe", 4000, 4);
  const std::string further = invoker.sends.back().host;
  EXPECT_NE(further, first);
  answer(0, Outcome::no_instance, 1);
  EXPECT_EQ(invoker.sends.back().id, "spilled");  // at once, where there is an instance
  EXPECT_EQ(invoker.sends.back().host, first);
  ASSERT_EQ(invoker.loads.size(), 1U);  // so that later calls find one there
  EXPECT_EQ(invoker.loads[0].host, further);
  answer(14);
  invoker.finish_load(further, 1, 1);
  invoker.request("finds", 1, "safe", 4000, 4);
  EXPECT_EQ(invoker.sends.back().host, further);
  EXPECT_FALSE(invoker.has_violation);
}

}  // namespace
}  // namespace lotusyard::policy::test
