// Hosts that fail are ejected, and only these.
#include <gtest/gtest.h>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: five of 40 hosts failed five in six calls for ten seconds. Each of 100 routers, which call a
// host once in some seconds, paid two failures there and came back a second later: 2,252 errors in all.
TEST(OutlierDetector, OneErrorEjectsTheHostWithManyRouters) {
  Settings settings = hundred_router_settings();
  settings.host_protocol.reports_warm_start = false;
  RouterFixture router(settings);
  router.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
  router.request("x", 1, "safe", 4000);
  const std::string bad = router.sends.back().host;
  router.answer(router.sends.back(), Outcome::error, 2);
  router.advance(20);
  EXPECT_EQ(router.sends.back().id, "x");  // retried elsewhere
  EXPECT_NE(router.sends.back().host, bad);
  router.answer(router.sends.back(), Outcome::ok);
  std::size_t sent_to_bad = 0;
  for (int i = 0; i < 25; ++i) {
    router.request(numbered("y", i), 1, "safe", 4000);
    if (router.sends.back().host == bad)
      ++sent_to_bad;
    router.answer(router.sends.back(), Outcome::ok);
    router.advance(100);
  }
  EXPECT_EQ(sent_to_bad, 0U);
}

// Regression: one class was not answered on one host, which served the others.
TEST(OutlierDetector, ClassThatFailsOnOneHostGoesElsewhere) {
  Settings settings = make_settings();
  settings.retries.max_attempts = 5;
  RouterFixture router = make_warm_router(settings);
  const std::string bad = first_host(router);
  std::size_t last = 0;
  for (int i = 0; i < 4; ++i) {
    router.request(numbered("x", i));
    last = router.sends.size();
    if (router.sends.back().host == bad)
      router.answer(router.sends.back(), Outcome::error);
    if (!router.loads.empty())
      router.finish_load(router.loads.back().host, 1, 1);
    router.advance(40);
  }
  EXPECT_GE(router.sends.size(), last);
  EXPECT_NE(router.sends.back().host, bad);
}

TEST(OutlierDetector, FunctionThatNoHostKnowsEjectsNone) {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = true;
  RouterFixture router(settings);
  router.update_endpoints({host_entry("w1")});
  for (int i = 0; i < 6; ++i) {
    router.request("a" + std::to_string(i), 99, "unsafe");
    if (router.sends.size() == static_cast<std::size_t>(i + 1))
      router.answer(router.sends.back(), Outcome::error);
  }
  const auto before = router.sends.size();
  router.request("b", 1, "unsafe");
  EXPECT_EQ(router.sends.size(), before + 1);
}

// Regression: one class failed everywhere, and hosts that served the others well were ejected for it.
TEST(OutlierDetector, ClassThatFailsEverywhereEjectsNoHost) {
  RouterFixture router(make_settings());
  router.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    for (const bool fails : {true, false}) {
      const auto loads = router.loads.size();
      const auto sends = router.sends.size();
      router.request(numbered(fails ? "u" : "k", i), fails ? 3 : 2, fails ? "unsafe" : "keyed");
      if (router.loads.size() > loads)
        router.finish_load(router.loads.back().host, router.loads.back().function, 1);
      if (router.sends.size() > sends)
        router.answer(router.sends.back(), fails ? Outcome::error : Outcome::ok);
      if (!fails && router.sends.size() > sends)
        ++served;
      router.advance(50);
    }
  }
  EXPECT_EQ(served, 60);
}

}  // namespace
}  // namespace lotusyard::policy::test
