// The hosts of a function that all invokers agree on, and how many of them it may use.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: with many invokers, each loaded its own instances on any host. The ids of the function and the
// hosts alone must decide.
TEST(Placement, InvokersAgreeOnTheHostOfAFunction) {
  std::set<std::string> chosen;
  for (int rank = 0; rank < 100; ++rank) {
    Settings settings = make_settings();
    settings.invokers = 100;
    settings.rank = rank;
    settings.seed = static_cast<std::uint64_t>(rank);
    PolicyFixture invoker(settings);
    invoker.update_endpoints(
        {host_entry("a"), host_entry("b"), host_entry("c"), host_entry("d"), host_entry("e")});
    invoker.request("x", 42);
    ASSERT_EQ(invoker.sends.size(), 1U);
    chosen.insert(invoker.sends[0].host);
  }
  EXPECT_EQ(chosen.size(), 1U);
}

// Regression: calls that were rejected at capacity went on to further and further hosts, and the loads there
// evicted instances permanently.
TEST(Placement, CallsRejectedAtCapacityStayOnFewHosts) {
  PolicyFixture invoker(hundred_invoker_settings());
  invoker.update_endpoints(numbered_hosts(40));
  std::set<std::string> used;
  std::size_t answered_sends = 0;
  for (int i = 0; i < 3000; ++i) {
    if (i % 300 == 0)
      invoker.request(numbered("x", i));
    while (answered_sends < invoker.sends.size()) {
      const auto send = invoker.sends[answered_sends++];
      used.insert(send.host);
      invoker.answer(send, Outcome::at_capacity);
    }
    invoker.advance(20);
  }
  EXPECT_GE(used.size(), 2U);
  EXPECT_LE(used.size(), 10U);
}

// Regression: in an overload, calls went from each busy host to a further one, where new instances evicted
// those of other functions, until every call needed a load.
TEST(Placement, CallsStayOnFewHostsWhereAMissStartsALoad) {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = settings.host_protocol.reports_warm_start = false;
  settings.load_reports.mode = ReportMode::answers;
  settings.load_reports.fields = {ReportField::inflight};
  PolicyFixture invoker(settings);
  invoker.update_endpoints(numbered_hosts(12));
  std::size_t loads = 0;
  std::size_t sends = 0;
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {  // all hosts report many calls of other invokers
    invoker.request("x" + std::to_string(i), 1, "safe", 4000, 8);
    for (; loads < invoker.loads.size(); ++loads) {
      used.insert(invoker.loads[loads].host);
      invoker.handle(event::Loaded{invoker.loads[loads].host, 1, Outcome::ok, Millis(1500), 1});
    }
    for (; sends < invoker.sends.size(); ++sends) {
      const auto& send = invoker.sends[sends];
      invoker.answered.insert(send.id);
      invoker.handle(event::AttemptEnded{send.id, send.host, 0, Outcome::ok, Warmth::unknown, 0, true,
                                         Millis(100), std::vector<double>{60}});
    }
    invoker.advance(100);
  }
  EXPECT_GE(used.size(), 2U);
  EXPECT_LE(used.size(), 4U);
}

}  // namespace
}  // namespace lotusyard::policy::test
