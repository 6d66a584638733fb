// Hosts that are added, drain, are removed and are replaced.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

TEST(HostTable, HostThatReplacesARemovedOneInheritsNothing) {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = true;
  PolicyFixture invoker(settings);
  for (int round = 0; round < 40; ++round) {  // each host takes the slot of the one removed two rounds before
    const std::string id = "w" + std::to_string(round);
    invoker.update_endpoints({host_entry(id, HostState::ready, round == 0 ? 0 : invoker.now.count())},
                             ListKind::delta);
    if (round > 0) {
      const std::string previous = "w" + std::to_string(round - 1);
      invoker.update_endpoints({host_entry(previous, HostState::removed)}, ListKind::delta);
      // Late events of hosts that were removed change nothing.
      invoker.handle(
          event::Probed{"w" + std::to_string(round - 2), Outcome::connect_failed, Millis(1), std::nullopt});
      invoker.finish_load("w" + std::to_string(round - 2), 1, 3);
    }
    invoker.advance(20000);
    const auto sent = invoker.sends.size();
    const std::string call = "c" + std::to_string(round);
    invoker.request(call, 1, "safe", 8000);
    for (int i = 0; i < 100 && invoker.answered.count(call) == 0; ++i) {
      if (invoker.sends.size() > sent && invoker.sends.back().id == call)
        invoker.answer(invoker.sends.back(), Outcome::ok);
      invoker.advance(20);
    }
    ASSERT_GT(invoker.sends.size(), sent);
    EXPECT_EQ(invoker.sends.back().host, id);
    invoker.advance(45000);
  }
  EXPECT_FALSE(invoker.has_violation);
}

TEST(HostTable, DrainingOrRemovedHostGetsNothingNew) {
  for (const auto state : {HostState::draining, HostState::removed}) {
    PolicyFixture invoker = make_warm_invoker();
    const std::string unavailable = first_host(invoker);
    invoker.update_endpoints({host_entry(unavailable, state)}, ListKind::delta);
    const auto loads = invoker.loads.size();
    const auto before = invoker.sends.size();
    for (int i = 0; i < 5; ++i)
      invoker.request(numbered("x", i));
    invoker.advance(3000);
    for (auto i = before; i < invoker.sends.size(); ++i)
      EXPECT_NE(invoker.sends[i].host, unavailable);
    ASSERT_GT(invoker.loads.size(), loads);
    for (auto i = loads; i < invoker.loads.size(); ++i)
      EXPECT_NE(invoker.loads[i].host, unavailable);
  }
}

TEST(HostTable, HostMissingFromAFullListIsRemoved) {
  PolicyFixture invoker = make_warm_invoker();
  const std::string left = first_host(invoker) == "b" ? "c" : "b";
  const auto loads = invoker.loads.size();
  invoker.update_endpoints({host_entry(left)});
  invoker.request("x");
  invoker.advance(3000);
  EXPECT_EQ(invoker.sends.size(), 1U);
  ASSERT_GT(invoker.loads.size(), loads);
  for (auto i = loads; i < invoker.loads.size(); ++i)
    EXPECT_EQ(invoker.loads[i].host, left);
}

}  // namespace
}  // namespace lotusyard::policy::test
