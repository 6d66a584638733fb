// Whether a host still runs, after a connection to it broke.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

TEST(Liveness, BrokenConnectionIsFollowedByAHealthCheck) {
  for (const bool runs : {true, false}) {
    Settings settings = make_settings();
    settings.host_protocol.accepts_probes = settings.host_protocol.answers_misses = true;
    PolicyFixture invoker(settings);
    invoker.update_endpoints({host_entry("w1")});
    invoker.request("a");
    invoker.answer(invoker.sends.at(0), Outcome::ok);
    for (const char* id : {"b", "c"})
      invoker.request(id);
    invoker.answer(invoker.sends.at(1), Outcome::reset);  // both were on one connection
    invoker.answer(invoker.sends.at(2), Outcome::reset);
    ASSERT_EQ(invoker.probes, std::vector<std::string>{"w1"});
    EXPECT_EQ(invoker.sends.size(), 3U);  // nothing goes there until the probe is answered
    // A probe may fail on another broken connection, which proves no more than the first.
    for (const Outcome outcome :
         {Outcome::reset, Outcome::connect_failed, runs ? Outcome::ok : Outcome::reset}) {
      invoker.handle(event::Probed{"w1", outcome, Millis(2), std::nullopt});
    }
    EXPECT_EQ(invoker.probes.size(), 3U);
    invoker.advance(50);
    EXPECT_EQ(invoker.sends.size(), runs ? 5U : 3U);
    for (std::size_t i = 3; i < invoker.sends.size(); ++i)
      invoker.answer(invoker.sends[i], Outcome::ok);
    for (int i = 0; i < 20; ++i) {  // its instance still counts as warm
      invoker.request("d" + std::to_string(i));
      if (runs)
        invoker.answer(invoker.sends.back(), Outcome::ok);
      invoker.advance(20);
    }
    EXPECT_EQ(invoker.sends.size(), runs ? 25U : 3U);
  }
}

// Regression: where probes are not allowed, every broken connection counted as a crash of its host.
TEST(Liveness, WithoutProbesAnOrderForZeroInstancesIsTheHealthCheck) {
  for (const bool runs : {true, false}) {
    Settings settings = make_settings();
    settings.host_protocol.accepts_probes = settings.host_protocol.answers_misses = false;
    PolicyFixture invoker(settings);
    invoker.update_endpoints({host_entry("w1")});
    invoker.request("a");
    invoker.finish_load("w1", 1, 1);
    invoker.answer(invoker.sends.at(0), Outcome::ok);
    invoker.request("b");
    invoker.answer(invoker.sends.at(1), Outcome::reset);
    EXPECT_TRUE(invoker.probes.empty());
    ASSERT_EQ(invoker.instance_queries, std::vector<std::string>{"w1"});
    invoker.request("c");
    EXPECT_EQ(invoker.sends.size(), 2U);  // nothing goes there until the order is answered
    for (const Outcome outcome :
         {Outcome::reset, Outcome::connect_failed, runs ? Outcome::ok : Outcome::reset})
      invoker.finish_load("w1", 1, runs ? 1 : 0, outcome);
    EXPECT_EQ(invoker.instance_queries.size(), 3U);
    invoker.advance(50);
    EXPECT_EQ(invoker.sends.size() > 2, runs);
    EXPECT_EQ(invoker.loads.size(), 1U);
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
