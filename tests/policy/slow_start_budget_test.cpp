// The calls that a host in slow start gets from one invoker and from many.
#include <gtest/gtest.h>

#include <string>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: with 100 invokers, the budget of a host in slow start was below one call for each, and the host
// never warmed up.
TEST(SlowStartBudget, ManyInvokersShareTheBudgetOfAWarmingHost) {
  double calls = 0;
  for (int rank = 0; rank < 100; ++rank) {
    Settings settings = make_settings();
    settings.invokers = 100;
    settings.rank = rank;
    settings.seed = static_cast<std::uint64_t>(rank) + 1;
    PolicyFixture invoker(settings);
    invoker.update_endpoints({host_entry("a", HostState::ready, 990)});
    for (int i = 0; i < 20; ++i) {
      invoker.request(numbered("x", i), 1, "safe", 450);
      invoker.advance(500);
    }
    calls += static_cast<double>(invoker.sends.size());
  }
  // Over ten seconds the allowed fraction of the core grows from 0.16 to 0.7, 0.43 on average; at most 2.5
  // times that may be used.
  EXPECT_GE(calls, 10);
  EXPECT_LE(calls, 2.5 * 0.43 * 10000 / 250);
}

// Regression: after 24 of 40 hosts were replaced, each miss on a new host used up the tokens saved for it, so
// that the load went to an old one. The old hosts stayed at a utilisation of 0.95, with queues, and the new
// ones at 0.15.
TEST(SlowStartBudget, LoadGoesToTheWarmingHostThatAnsweredTheMiss) {
  Settings settings = hundred_invoker_settings();
  settings.host_protocol.answers_misses = true;
  settings.host_protocol.reports_warm_start = false;
  int used = 0;
  int loaded = 0;
  for (int rank = 0; rank < 100; ++rank) {
    settings.rank = rank;
    settings.seed = static_cast<std::uint64_t>(rank) + 1;
    PolicyFixture invoker(settings);
    invoker.now = Millis(1e6);
    invoker.update_endpoints({host_entry("old"), host_entry("new", HostState::ready, 1e6 - 100)});
    for (std::uint64_t function = 1; function <= 40; ++function) {  // some are placed on the new host
      invoker.request(numbered("x", static_cast<int>(function)), function, "safe", 3000);
      const auto send = invoker.sends.back();
      invoker.answer(send, send.host == "new" ? Outcome::no_instance : Outcome::ok, 160);
      if (send.host == "new") {
        ASSERT_EQ(invoker.loads.size(), 1U);
        EXPECT_EQ(invoker.loads[0].host, "new");
        ++loaded;
        invoker.finish_load("new", function, 1);
        if (invoker.sends.back().host == "new" && invoker.sends.size() > function)
          ++used;
        break;
      }
      invoker.advance(100);
    }
  }
  // Work of all in four seconds, 160 ms each: at most 2.5 times that of 0.16 to 0.37 of a core.
  EXPECT_GE(loaded, 5);
  EXPECT_GE(used, loaded / 2);
  EXPECT_LE((loaded + used) * 160, 2.5 * 0.26 * 4000);
}

TEST(SlowStartBudget, WarmingHostGetsFewCalls) {
  Settings settings = make_settings();
  settings.retries.max_attempts = 5;
  PolicyFixture invoker(settings);
  invoker.update_endpoints({host_entry("a", HostState::ready, 990)});
  for (int i = 0; i < 60; ++i) {
    invoker.request(numbered("y", i), 1, "safe", 900);
    invoker.advance(10);
    if (!invoker.sends.empty() && invoker.answered.count(invoker.sends.back().id) == 0)
      invoker.answer(invoker.sends.back(), Outcome::ok, 100);
  }
  // 2.5 times 0.16 of one core for a second is 400 ms of work: four calls of 100 ms.
  EXPECT_LE(invoker.sends.size(), 4U);
}

// Calls that 200 simulated invokers, each configured as one of 100, send to a host in slow start with this
// quota each.
std::size_t count_calls_with_quota(double quota) {
  std::size_t calls = 0;
  for (int seed = 0; seed < 200; ++seed) {
    Settings settings = make_settings();
    settings.invokers = 100;
    settings.slow_start.quota = quota;
    settings.seed = static_cast<std::uint64_t>(seed);
    for (auto& call_class : settings.classes)
      call_class.latency_objective = Millis(800);
    PolicyFixture invoker(settings);
    invoker.update_endpoints({host_entry("a", HostState::ready, 990)});
    for (int i = 0; i < 20; ++i) {
      invoker.request(std::to_string(i), 1, "safe", 450);
      invoker.advance(500);
    }
    calls += invoker.sends.size();
  }
  return calls;
}

// An invoker's fraction of the budget may be configured; without a quota it is an equal share.
TEST(SlowStartBudget, InvokerUsesTheQuotaThatIsSet) {
  const std::size_t without_quota = count_calls_with_quota(0);
  const std::size_t with_equal_part = count_calls_with_quota(0.01);
  const std::size_t with_four_parts = count_calls_with_quota(0.04);
  EXPECT_EQ(without_quota, with_equal_part);
  EXPECT_GT(with_four_parts, 2 * without_quota);
}

}  // namespace
}  // namespace lotusyard::policy::test
