// The complete decision module: changes of settings, invalid settings, and inputs that must not matter.
#include <gtest/gtest.h>

#include <random>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// A first call is sent to a host that may have an instance; a host without one answers that.
Settings settings_with_misses() {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = true;
  return settings;
}

// The number of invokers may be missing or impossible.
TEST(Scheduler, ServesWithAnyNumberOfInvokers) {
  for (const int invokers : {-5, 0, 1, 100, 1000000}) {
    Settings settings = hundred_invoker_settings();
    settings.host_protocol.answers_misses = true;
    settings.invokers = invokers;
    PolicyFixture invoker(settings);
    invoker.update_endpoints({host_entry("a"), host_entry("cold", HostState::ready, 999)});
    for (int i = 0; i < 20 && invoker.sends.empty(); ++i) {
      invoker.request(numbered("x", i), static_cast<std::uint64_t>(i), "safe", 4000);
      if (!invoker.loads.empty())
        invoker.finish_load(invoker.loads.back().host, invoker.loads.back().function, 1);
    }
    ASSERT_FALSE(invoker.sends.empty()) << invokers;
    invoker.answer(invoker.sends.back(), Outcome::ok);
    invoker.advance(5000);
    EXPECT_FALSE(invoker.has_violation);
  }
}

TEST(Scheduler, OpenRequestsKeepTheirSettingsAndNewOnesGetTheNewSettings) {
  PolicyFixture invoker(settings_with_misses());
  invoker.update_endpoints({host_entry("w1"), host_entry("w2"), host_entry("w3")});
  invoker.request("old-safe", 1, "safe");
  invoker.request("old-once", 2, "unsafe");
  ASSERT_EQ(invoker.sends.size(), 2U);
  Settings next = settings_with_misses();
  next.retries.max_attempts = 1;
  next.classes[0].semantics = Semantics::non_idempotent;  // safe
  next.classes[2].semantics = Semantics::idempotent;      // unsafe
  invoker.handle(event::SettingsChanged{next});
  invoker.answer(invoker.sends[0], Outcome::error);  // may have run, but its settings still allow a retry
  invoker.answer(invoker.sends[1], Outcome::error);
  ASSERT_EQ(invoker.sends.size(), 3U);
  EXPECT_EQ(invoker.sends[2].id, "old-safe");
  EXPECT_EQ(invoker.failed, std::vector<std::string>{"old-once"});
  invoker.request("new-safe", 3, "safe");
  ASSERT_EQ(invoker.sends.size(), 4U);
  invoker.answer(invoker.sends[3], Outcome::error);
  EXPECT_EQ(invoker.failed.size(), 2U);  // under the new settings it must not run twice
  EXPECT_EQ(invoker.sends.size(), 4U);
  invoker.request("new-once", 4, "unsafe");
  ASSERT_EQ(invoker.sends.size(), 5U);
  invoker.answer(invoker.sends[4], Outcome::error);
  EXPECT_EQ(invoker.sends.size(), 5U);  // a retry is allowed now, but only one attempt
  EXPECT_EQ(invoker.rejected, std::vector<std::string>{"new-once"});
  EXPECT_FALSE(invoker.has_violation);
}

TEST(Scheduler, MalformedPeerMessagesAreHarmless) {
  Settings settings = make_settings();
  settings.peer_messages = true;
  settings.invokers = 3;
  PolicyFixture invoker = make_warm_invoker(settings);
  for (const char* text : {"", "q", "qabc", "q000z000z", "nonsense", "q\xff\xfe\xfd\xfc"})
    invoker.handle(event::PeerMessage{1, text});
  invoker.request("x");
  invoker.advance(5000);
  EXPECT_FALSE(invoker.has_violation);
  EXPECT_EQ(invoker.sends.back().id, "x");
}

// Names of classes, kinds and clients must not affect decisions. Ids of hosts and functions are hashed, and
// affect only the placement. Returns the sends of a simulated run whose names have this prefix.
std::vector<std::string> run_scenario(const std::string& prefix) {
  Settings settings = make_settings();
  for (auto& call_class : settings.classes)
    call_class.name = prefix + call_class.name;
  settings.kind_memory_mb = {{prefix + "k", 10000}};
  PolicyFixture invoker(settings);
  std::vector<HostEntry> hosts;
  for (const char* name : {"q", "b", "z", "a", "m"}) {
    hosts.push_back(host_entry(name));
    hosts.back().kind = prefix + "k";
  }
  invoker.update_endpoints(hosts);
  std::mt19937 random(11);
  std::size_t answered_sends = 0;
  for (int i = 0; i < 300; ++i) {
    const auto loads = invoker.loads.size();
    const auto function = 1 + random() % 8;
    invoker.request(prefix + std::to_string(i), function, prefix + "safe");
    for (auto k = loads; k < invoker.loads.size(); ++k)
      invoker.finish_load(invoker.loads[k].host, invoker.loads[k].function, 1);
    invoker.advance(static_cast<double>(random() % 30));
    if (invoker.sends.size() > answered_sends && invoker.answered.count(invoker.sends.back().id) == 0) {
      answered_sends = invoker.sends.size();  // an attempt has one outcome
      invoker.answer(invoker.sends.back(), random() % 9 == 0 ? Outcome::error : Outcome::ok,
                     60 + static_cast<double>(random() % 80));
    }
  }
  std::vector<std::string> sends;  // position of the host / id of the call
  for (const auto& send : invoker.sends) {
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (hosts[i].host == send.host)
        sends.push_back(std::to_string(i) + "/" + send.id.substr(prefix.size()));
    }
  }
  EXPECT_FALSE(invoker.has_violation);
  return sends;
}

TEST(Scheduler, NamesOfClassesAndKindsDecideNothing) {
  const auto plain = run_scenario("");
  EXPECT_GT(plain.size(), 50U);
  EXPECT_EQ(plain, run_scenario("xyzzy-"));
  EXPECT_EQ(plain, run_scenario(""));
}

}  // namespace
}  // namespace lotusyard::policy::test
