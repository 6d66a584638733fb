// The decision module as a whole: changes of settings, odd settings, and what must not matter.
#include <gtest/gtest.h>

#include <random>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// A first call goes to a host that may hold an instance, which answers if it has none.
Settings settings_with_misses() {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = true;
  return settings;
}

// Settings may state no number of routers, one, or one that cannot be.
TEST(Scheduler, ServesWithAnyNumberOfRouters) {
  for (const int routers : {-5, 0, 1, 100, 1000000}) {
    Settings settings = hundred_router_settings();
    settings.host_protocol.answers_misses = true;
    settings.invokers = routers;
    RouterFixture router(settings);
    router.update_endpoints({host_entry("a"), host_entry("cold", HostState::ready, 999)});
    for (int i = 0; i < 20 && router.sends.empty(); ++i) {
      router.request(numbered("x", i), static_cast<std::uint64_t>(i), "safe", 4000);
      if (!router.loads.empty())
        router.finish_load(router.loads.back().host, router.loads.back().function, 1);
    }
    ASSERT_FALSE(router.sends.empty()) << routers;
    router.answer(router.sends.back(), Outcome::ok);
    router.advance(5000);
    EXPECT_FALSE(router.broke_rule);
  }
}

TEST(Scheduler, OpenRequestsKeepTheirSettingsAndNewOnesGetTheNewSettings) {
  RouterFixture router(settings_with_misses());
  router.update_endpoints({host_entry("w1"), host_entry("w2"), host_entry("w3")});
  router.request("old-safe", 1, "safe");
  router.request("old-once", 2, "unsafe");
  ASSERT_EQ(router.sends.size(), 2U);
  Settings next = settings_with_misses();
  next.retries.max_attempts = 1;
  next.classes[0].semantics = Semantics::non_idempotent;  // safe
  next.classes[2].semantics = Semantics::idempotent;      // unsafe
  router.handle(event::SettingsChanged{next});
  router.answer(router.sends[0], Outcome::error);  // may have run: it may be retried, as when it came
  router.answer(router.sends[1], Outcome::error);
  ASSERT_EQ(router.sends.size(), 3U);
  EXPECT_EQ(router.sends[2].id, "old-safe");
  EXPECT_EQ(router.failed, std::vector<std::string>{"old-once"});
  router.request("new-safe", 3, "safe");
  ASSERT_EQ(router.sends.size(), 4U);
  router.answer(router.sends[3], Outcome::error);
  EXPECT_EQ(router.failed.size(), 2U);  // under the new settings it must not run twice
  EXPECT_EQ(router.sends.size(), 4U);
  router.request("new-once", 4, "unsafe");
  ASSERT_EQ(router.sends.size(), 5U);
  router.answer(router.sends[4], Outcome::error);
  EXPECT_EQ(router.sends.size(), 5U);  // it may be retried now, but one attempt is all
  EXPECT_EQ(router.rejected, std::vector<std::string>{"new-once"});
  EXPECT_FALSE(router.broke_rule);
}

TEST(Scheduler, MalformedPeerMessagesAreHarmless) {
  Settings settings = make_settings();
  settings.peer_messages = true;
  settings.invokers = 3;
  RouterFixture router = make_warm_router(settings);
  for (const char* text : {"", "q", "qabc", "q000z000z", "nonsense", "q\xff\xfe\xfd\xfc"})
    router.handle(event::PeerMessage{1, text});
  router.request("x");
  router.advance(5000);
  EXPECT_FALSE(router.broke_rule);
  EXPECT_EQ(router.sends.back().id, "x");
}

// Another spelling of the names of classes, kinds and clients changes no decision. Ids of hosts and functions
// are hashed and decide the placement alone. Returns the sends of a day whose names have this prefix.
std::vector<std::string> play_day(const std::string& prefix) {
  Settings settings = make_settings();
  for (auto& call_class : settings.classes)
    call_class.name = prefix + call_class.name;
  settings.kind_memory_mb = {{prefix + "k", 10000}};
  RouterFixture router(settings);
  std::vector<HostEntry> hosts;
  for (const char* name : {"q", "b", "z", "a", "m"}) {
    hosts.push_back(host_entry(name));
    hosts.back().kind = prefix + "k";
  }
  router.update_endpoints(hosts);
  std::mt19937 random(11);
  std::size_t answered_sends = 0;
  for (int i = 0; i < 300; ++i) {
    const auto loads = router.loads.size();
    const auto function = 1 + random() % 8;
    router.request(prefix + std::to_string(i), function, prefix + "safe");
    for (auto k = loads; k < router.loads.size(); ++k)
      router.finish_load(router.loads[k].host, router.loads[k].function, 1);
    router.advance(static_cast<double>(random() % 30));
    if (router.sends.size() > answered_sends && router.answered.count(router.sends.back().id) == 0) {
      answered_sends = router.sends.size();  // an attempt has one outcome
      router.answer(router.sends.back(), random() % 9 == 0 ? Outcome::error : Outcome::ok,
                    60 + static_cast<double>(random() % 80));
    }
  }
  std::vector<std::string> sends;  // position of the host / id of the call
  for (const auto& send : router.sends) {
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (hosts[i].host == send.host)
        sends.push_back(std::to_string(i) + "/" + send.id.substr(prefix.size()));
    }
  }
  EXPECT_FALSE(router.broke_rule);
  return sends;
}

TEST(Scheduler, NamesOfClassesAndKindsDecideNothing) {
  const auto plain = play_day("");
  EXPECT_GT(plain.size(), 50U);
  EXPECT_EQ(plain, play_day("xyzzy-"));
  EXPECT_EQ(plain, play_day(""));
}

}  // namespace
}  // namespace lotusyard::policy::test
