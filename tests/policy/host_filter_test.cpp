// The gate: where a call or a copy may be at all. The module asks it wherever it considers a host.
#include <gtest/gtest.h>

#include "policy/router_rig.h"

namespace lotusyard::policy::test {
namespace {

struct Only final : HostFilter {
  std::set<std::string> open_to;  // for the tenant "bound"; others may go anywhere
  bool allows(const std::string& tenant, std::uint64_t, const std::string& host) override {
    return tenant != "bound" || open_to.count(host) != 0;
  }
};
void ask(Router& r, const std::string& id, const std::string& tenant, std::uint64_t function = 1) {
  event::Request e;
  e.id = id;
  e.class_name = "safe";
  e.tenant = tenant;
  e.function = function;
  e.memory_mb = 100;
  e.load_hint = Millis(1000);
  e.expires_in = Millis(4000);
  r.give(e);
}

// What stays of many calls where only one of five hosts may have them: sends, loads, refusals.
TEST(Gate, NoCallAndNoLoadGoesWhereItIsClosed) {
  for (const bool orders : {false, true}) {
    Settings s = settings();
    s.load_orders.allowed = orders;
    Only host_filter;
    host_filter.open_to = {"c"};
    Router r(s);
    r.policy.set_host_filter(&host_filter);
    r.list({entry("a"), entry("b"), entry("c"), entry("d"), entry("e")});
    for (int i = 0; i < 200; ++i) {
      ask(r, std::to_string(i), "bound", 1 + i % 7);
      for (const auto& load : std::exchange(r.loads, {})) {
        EXPECT_EQ(load.host, "c");
        r.loaded(load.host, load.function, 1);
      }
      if (!r.sends.empty()) {
        EXPECT_EQ(r.sends.back().host, "c");
        r.answer(r.sends.back(), i % 5 == 0 ? Outcome::error : Outcome::ok);
      }
    }
    EXPECT_GT(r.sends.size(), 50U);
    EXPECT_FALSE(r.broken);
  }
}

// A copy that stands where it is closed by now is of no use, also to a call that failed elsewhere.
TEST(Gate, AHostThatClosesIsLeftAtOnceAndWhereNoneIsOpenACallIsRefusedAtOnce) {
  Only host_filter;
  host_filter.open_to = {"a", "b"};
  Router r;
  r.policy.set_host_filter(&host_filter);
  r.list({entry("a"), entry("b"), entry("c")});
  ask(r, "first", "bound");
  if (!r.loads.empty())
    r.loaded(r.loads[0].host, 1, 1);
  ASSERT_EQ(r.sends.size(), 1U);
  const std::string home = r.sends[0].host;
  r.answer(r.sends[0], Outcome::ok);
  host_filter.open_to.erase(home);
  ask(r, "second", "bound");
  if (r.loads.size() > 1)
    r.loaded(r.loads.back().host, 1, 1);
  ASSERT_EQ(r.sends.size(), 2U);
  EXPECT_NE(r.sends[1].host, home);
  EXPECT_NE(r.sends[1].host, "c");
  host_filter.open_to.clear();
  ask(r, "third", "bound");
  EXPECT_EQ(r.refused, std::vector<std::string>{"third"});
  ask(r, "free", "other");
  EXPECT_EQ(r.refused.size(), 1U);
}

// The part of a cold host's budget that is this router's comes from outside: half the share, half the calls.
TEST(Share, AColdHostGetsTheShareThatIsSet) {
  const auto calls = [](double share) {
    double out = 0;
    for (int rank = 0; rank < 200; ++rank) {
      Settings s = settings();
      s.routers = 100;
      s.slow_start.quota = share;
      s.seed = static_cast<std::uint64_t>(rank);
      for (auto& c : s.classes)
        c.latency_objective = Millis(800);
      Router r(s);
      r.list({entry("a", HostState::ready, 990)});
      for (int i = 0; i < 20; ++i) {
        r.request(std::to_string(i), 1, "safe", 450);
        r.pass(500);
      }
      out += static_cast<double>(r.sends.size());
    }
    return out;
  };
  const double usual = calls(0), same = calls(0.01), more = calls(0.04);
  EXPECT_EQ(usual, same);
  EXPECT_GT(more, 2 * usual);
}

}  // namespace
}  // namespace lotusyard::policy::test
