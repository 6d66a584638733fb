// The statistics of a class, and the slots of classes while settings change.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// A first call is sent to a host that may have an instance; a host without one answers that.
Settings settings_with_misses() {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = true;
  return settings;
}

// Regression: the longest time-out counted as that of a first try. Where clients give the first try half of
// the class's deadline and the last one all that is left, every first try seemed late and was rejected at
// once.
TEST(ClassTable, FirstTryIsRecognizedByTheMostCommonTimeout) {
  PolicyFixture invoker;
  invoker.update_endpoints({});
  for (int i = 0; i < 5; ++i)
    invoker.request(numbered("first", i), 1, "safe", 2100);
  invoker.request("last", 1, "safe", 3500);  // 500 ms after its first try: 500 ms of its objective are left
  invoker.request("again", 1, "safe", 2100);
  invoker.advance(450);
  EXPECT_TRUE(invoker.rejected.empty());
  invoker.advance(100);
  EXPECT_EQ(invoker.rejected, std::vector<std::string>{"last"});
}

TEST(ClassTable, SlotIsReusedOnlyOnceNoOpenRequestUsesIt) {
  PolicyFixture invoker(settings_with_misses());
  invoker.update_endpoints({host_entry("w1"), host_entry("w2")});
  invoker.request("open", 1, "unsafe");
  ASSERT_EQ(invoker.sends.size(), 1U);
  for (int i = 0; i < 50; ++i) {  // the class is dropped, and others come and go
    Settings next = settings_with_misses();
    next.classes.resize(1);
    next.classes.push_back(next.classes[0]);
    next.classes.back().name = "c" + std::to_string(i);
    invoker.handle(event::SettingsChanged{next});
    invoker.request("r" + std::to_string(i), 2, next.classes.back().name);
    invoker.answer(invoker.sends.back(), Outcome::ok);
  }
  EXPECT_EQ(invoker.sends.size(), 51U);
  invoker.answer(invoker.sends[0], Outcome::error);
  EXPECT_EQ(invoker.failed, std::vector<std::string>{"open"});
}

TEST(ClassTable, ChangeOfTheLatencyObjectiveKeepsWhatWasLearntOfTheClass) {
  const auto count_rejected_and_sent = [](bool settings_change) {
    PolicyFixture invoker(settings_with_misses());
    invoker.update_endpoints({host_entry("w1")});
    for (int i = 0; i < 20; ++i) {
      invoker.request("r" + std::to_string(i), 1, "safe");
      invoker.answer(invoker.sends.back(), Outcome::ok, 900);
    }
    Settings next = settings_with_misses();
    next.classes[0].latency_objective = Millis(950);
    if (settings_change)
      invoker.handle(event::SettingsChanged{next});
    invoker.request("last", 1, "safe", 500);  // it cannot be served in what is left
    return invoker.rejected.size() + invoker.sends.size();
  };
  EXPECT_EQ(count_rejected_and_sent(true), count_rejected_and_sent(false));
}

}  // namespace
}  // namespace lotusyard::policy::test
