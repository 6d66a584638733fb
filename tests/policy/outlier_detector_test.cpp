// Only hosts that fail are ejected.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Regression: five of 40 hosts failed five in six calls for ten seconds. Each of 100 invokers, which call a
// host once every few seconds, had two failures there and tried again a second later: 2,252 errors in all.
TEST(OutlierDetector, OneErrorEjectsTheHostWithManyInvokers) {
  Settings settings = hundred_invoker_settings();
  settings.host_protocol.reports_warm_start = false;
  PolicyFixture invoker(settings);
  invoker.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
  invoker.request("x", 1, "safe", 4000);
  const std::string bad = invoker.sends.back().host;
  invoker.answer(invoker.sends.back(), Outcome::error, 2);
  invoker.advance(20);
  EXPECT_EQ(invoker.sends.back().id, "x");  // retried elsewhere
  EXPECT_NE(invoker.sends.back().host, bad);
  invoker.answer(invoker.sends.back(), Outcome::ok);
  std::size_t sent_to_bad = 0;
  for (int i = 0; i < 25; ++i) {
    invoker.request(numbered("y", i), 1, "safe", 4000);
    if (invoker.sends.back().host == bad)
      ++sent_to_bad;
    invoker.answer(invoker.sends.back(), Outcome::ok);
    invoker.advance(100);
  }
  EXPECT_EQ(sent_to_bad, 0U);
}

// Regression: calls of one class kept going to a host that failed them but served the other classes.
TEST(OutlierDetector, ClassThatFailsOnOneHostGoesElsewhere) {
  Settings settings = make_settings();
  settings.retries.max_attempts = 5;
  PolicyFixture invoker = make_warm_invoker(settings);
  const std::string bad = first_host(invoker);
  std::size_t last = 0;
  for (int i = 0; i < 4; ++i) {
    invoker.request(numbered("x", i));
    last = invoker.sends.size();
    if (invoker.sends.back().host == bad)
      invoker.answer(invoker.sends.back(), Outcome::error);
    if (!invoker.loads.empty())
      invoker.finish_load(invoker.loads.back().host, 1, 1);
    invoker.advance(40);
  }
  EXPECT_GE(invoker.sends.size(), last);
  EXPECT_NE(invoker.sends.back().host, bad);
}

TEST(OutlierDetector, FunctionThatExistsOnNoHostEjectsNone) {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = true;
  PolicyFixture invoker(settings);
  invoker.update_endpoints({host_entry("w1")});
  for (int i = 0; i < 6; ++i) {
    invoker.request("a" + std::to_string(i), 99, "unsafe");
    if (invoker.sends.size() == static_cast<std::size_t>(i + 1))
      invoker.answer(invoker.sends.back(), Outcome::error);
  }
  const auto before = invoker.sends.size();
  invoker.request("b", 1, "unsafe");
  EXPECT_EQ(invoker.sends.size(), before + 1);
}

// Regression: one class failed everywhere, and hosts that served the others well were ejected for it.
TEST(OutlierDetector, ClassThatFailsEverywhereEjectsNoHost) {
  PolicyFixture invoker(make_settings());
  invoker.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    for (const bool fails : {true, false}) {
      const auto loads = invoker.loads.size();
      const auto sends = invoker.sends.size();
      invoker.request(numbered(fails ? "u" : "k", i), fails ? 3 : 2, fails ? "unsafe" : "keyed");
      if (invoker.loads.size() > loads)
        invoker.finish_load(invoker.loads.back().host, invoker.loads.back().function, 1);
      if (invoker.sends.size() > sends)
        invoker.answer(invoker.sends.back(), fails ? Outcome::error : Outcome::ok);
      if (!fails && invoker.sends.size() > sends)
        ++served;
      invoker.advance(50);
    }
  }
  EXPECT_EQ(served, 60);
}

}  // namespace
}  // namespace lotusyard::policy::test
