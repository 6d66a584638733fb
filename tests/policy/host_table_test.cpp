// Hosts that come, drain, leave and are replaced.
#include <gtest/gtest.h>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

TEST(HostTable, HostThatReplacesARemovedOneInheritsNothing) {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = true;
  RouterFixture router(settings);
  for (int day = 0; day < 40; ++day) {  // each takes the slot of the one removed two days before
    const std::string id = "w" + std::to_string(day);
    router.update_endpoints({host_entry(id, HostState::ready, day == 0 ? 0 : router.now.count())},
                            ListKind::delta);
    if (day > 0) {
      const std::string previous = "w" + std::to_string(day - 1);
      router.update_endpoints({host_entry(previous, HostState::removed)}, ListKind::delta);
      // Late events of hosts that were removed change nothing.
      router.handle(
          event::Probed{"w" + std::to_string(day - 2), Outcome::connect_failed, Millis(1), std::nullopt});
      router.finish_load("w" + std::to_string(day - 2), 1, 3);
    }
    router.advance(20000);
    const auto sent = router.sends.size();
    const std::string call = "c" + std::to_string(day);
    router.request(call, 1, "safe", 8000);
    for (int i = 0; i < 100 && router.answered.count(call) == 0; ++i) {
      if (router.sends.size() > sent && router.sends.back().id == call)
        router.answer(router.sends.back(), Outcome::ok);
      router.advance(20);
    }
    ASSERT_GT(router.sends.size(), sent);
    EXPECT_EQ(router.sends.back().host, id);
    router.advance(45000);
  }
  EXPECT_FALSE(router.broke_rule);
}

TEST(HostTable, DrainingOrGoneHostGetsNothingNew) {
  for (const auto state : {HostState::draining, HostState::removed}) {
    RouterFixture router = make_warm_router();
    const std::string out = first_host(router);
    router.update_endpoints({host_entry(out, state)}, ListKind::delta);
    const auto loads = router.loads.size();
    const auto before = router.sends.size();
    for (int i = 0; i < 5; ++i)
      router.request(numbered("x", i));
    router.advance(3000);
    for (auto i = before; i < router.sends.size(); ++i)
      EXPECT_NE(router.sends[i].host, out);
    ASSERT_GT(router.loads.size(), loads);
    for (auto i = loads; i < router.loads.size(); ++i)
      EXPECT_NE(router.loads[i].host, out);
  }
}

TEST(HostTable, HostMissingFromAFullListIsGone) {
  RouterFixture router = make_warm_router();
  const std::string left = first_host(router) == "b" ? "c" : "b";
  const auto loads = router.loads.size();
  router.update_endpoints({host_entry(left)});
  router.request("x");
  router.advance(3000);
  EXPECT_EQ(router.sends.size(), 1U);
  ASSERT_GT(router.loads.size(), loads);
  for (auto i = loads; i < router.loads.size(); ++i)
    EXPECT_EQ(router.loads[i].host, left);
}

}  // namespace
}  // namespace lotusyard::policy::test
