// Whether a host still runs, after a connection to it broke.
#include <gtest/gtest.h>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

TEST(Liveness, BrokenConnectionIsFollowedByAHealthCheck) {
  for (const bool runs : {true, false}) {
    Settings settings = make_settings();
    settings.host_protocol.accepts_probes = settings.host_protocol.answers_misses = true;
    RouterFixture router(settings);
    router.update_endpoints({host_entry("w1")});
    router.request("a");
    router.answer(router.sends.at(0), Outcome::ok);
    for (const char* id : {"b", "c"})
      router.request(id);
    router.answer(router.sends.at(1), Outcome::reset);  // both were on one connection
    router.answer(router.sends.at(2), Outcome::reset);
    ASSERT_EQ(router.probes, std::vector<std::string>{"w1"});
    EXPECT_EQ(router.sends.size(), 3U);  // nothing goes there until the probe is answered
    // A probe may meet a further broken connection, which proves no more than the first.
    for (const Outcome outcome :
         {Outcome::reset, Outcome::connect_failed, runs ? Outcome::ok : Outcome::reset}) {
      router.handle(event::Probed{"w1", outcome, Millis(2), std::nullopt});
    }
    EXPECT_EQ(router.probes.size(), 3U);
    router.advance(50);
    EXPECT_EQ(router.sends.size(), runs ? 5U : 3U);
    for (std::size_t i = 3; i < router.sends.size(); ++i)
      router.answer(router.sends[i], Outcome::ok);
    for (int i = 0; i < 20; ++i) {  // its instance counts as warm still
      router.request("d" + std::to_string(i));
      if (runs)
        router.answer(router.sends.back(), Outcome::ok);
      router.advance(20);
    }
    EXPECT_EQ(router.sends.size(), runs ? 25U : 3U);
  }
}

// Regression: where no probe is allowed every broken connection counted as the death of its host.
TEST(Liveness, WithoutProbesAnOrderForZeroInstancesIsTheHealthCheck) {
  for (const bool runs : {true, false}) {
    Settings settings = make_settings();
    settings.host_protocol.accepts_probes = settings.host_protocol.answers_misses = false;
    RouterFixture router(settings);
    router.update_endpoints({host_entry("w1")});
    router.request("a");
    router.finish_load("w1", 1, 1);
    router.answer(router.sends.at(0), Outcome::ok);
    router.request("b");
    router.answer(router.sends.at(1), Outcome::reset);
    EXPECT_TRUE(router.probes.empty());
    ASSERT_EQ(router.instance_queries, std::vector<std::string>{"w1"});
    router.request("c");
    EXPECT_EQ(router.sends.size(), 2U);  // nothing goes there until the order is answered
    for (const Outcome outcome :
         {Outcome::reset, Outcome::connect_failed, runs ? Outcome::ok : Outcome::reset})
      router.finish_load("w1", 1, runs ? 1 : 0, outcome);
    EXPECT_EQ(router.instance_queries.size(), 3U);
    router.advance(50);
    EXPECT_EQ(router.sends.size() > 2, runs);
    EXPECT_EQ(router.loads.size(), 1U);
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
