// The hosts of a function, agreed among routers, and how many of them it may use.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: with many routers each loaded its own instances on any host. Now the ids alone decide.
TEST(Placement, RoutersAgreeOnTheHostOfAFunction) {
  std::set<std::string> chosen;
  for (int rank = 0; rank < 100; ++rank) {
    Settings settings = make_settings();
    settings.invokers = 100;
    settings.rank = rank;
    settings.seed = static_cast<std::uint64_t>(rank);
    RouterFixture router(settings);
    router.update_endpoints(
        {host_entry("a"), host_entry("b"), host_entry("c"), host_entry("d"), host_entry("e")});
    router.request("x", 42);
    ASSERT_EQ(router.sends.size(), 1U);
    chosen.insert(router.sends[0].host);
  }
  EXPECT_EQ(chosen.size(), 1U);
}

// Regression (h6ac7e3): calls that met hosts at capacity went on to further hosts without end, and the
// loads there evicted instances for good.
TEST(Placement, CallsRejectedAtCapacityStayOnFewHosts) {
  RouterFixture router(hundred_router_settings());
  router.update_endpoints(numbered_hosts(40));
  std::set<std::string> used;
  std::size_t answered_sends = 0;
  for (int i = 0; i < 3000; ++i) {
    if (i % 300 == 0)
      router.request(numbered("x", i));
    while (answered_sends < router.sends.size()) {
      const auto send = router.sends[answered_sends++];
      used.insert(send.host);
      router.answer(send, Outcome::at_capacity);
    }
    router.advance(20);
  }
  EXPECT_GE(used.size(), 2U);
  EXPECT_LE(used.size(), 10U);
}

// Regression: in an overload each busy host sent its calls on to a further one, whose new instances
// evicted those of other functions, until every call needed a load.
TEST(Placement, CallsStayOnFewHostsWhereAMissStartsALoad) {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = settings.host_protocol.reports_warm_start = false;
  settings.load_reports.mode = ReportMode::answers;
  settings.load_reports.fields = {ReportField::inflight};
  RouterFixture router(settings);
  router.update_endpoints(numbered_hosts(12));
  std::size_t loads = 0;
  std::size_t sends = 0;
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {  // all hosts report many calls of other routers
    router.request("x" + std::to_string(i), 1, "safe", 4000, 8);
    for (; loads < router.loads.size(); ++loads) {
      used.insert(router.loads[loads].host);
      router.handle(event::Loaded{router.loads[loads].host, 1, Outcome::ok, Millis(1500), 1});
    }
    for (; sends < router.sends.size(); ++sends) {
      const auto& send = router.sends[sends];
      router.answered.insert(send.id);
      router.handle(event::AttemptEnded{send.id, send.host, 0, Outcome::ok, Warmth::unknown, 0, true,
                                        Millis(100), std::vector<double>{60}});
    }
    router.advance(100);
  }
  EXPECT_GE(used.size(), 2U);
  EXPECT_LE(used.size(), 4U);
}

}  // namespace
}  // namespace lotusyard::policy::test
