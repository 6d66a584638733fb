// What is learnt of a class, and the slots of classes while settings change.
#include <gtest/gtest.h>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// A first call goes to a host that may hold an instance, which answers if it has none.
Settings settings_with_misses() {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = true;
  return settings;
}

// Regression: clients gave a first try half of the class's deadline and the last one all that was left.
// The longest time-out seen was taken for that of a first try, so that every first try seemed late and was
// rejected at once.
TEST(ClassTable, FirstTryIsRecognizedByTheMostCommonTimeout) {
  RouterFixture router;
  router.update_endpoints({});
  for (int i = 0; i < 5; ++i)
    router.request(numbered("first", i), 1, "safe", 2100);
  router.request("last", 1, "safe", 3500);  // 500 ms after its first try: 500 ms of its objective are left
  router.request("again", 1, "safe", 2100);
  router.advance(450);
  EXPECT_TRUE(router.rejected.empty());
  router.advance(100);
  EXPECT_EQ(router.rejected, std::vector<std::string>{"last"});
}

TEST(ClassTable, SlotIsReusedOnlyOnceNoOpenRequestUsesIt) {
  RouterFixture router(settings_with_misses());
  router.update_endpoints({host_entry("w1"), host_entry("w2")});
  router.request("open", 1, "unsafe");
  ASSERT_EQ(router.sends.size(), 1U);
  for (int i = 0; i < 50; ++i) {  // the class is dropped, and others come and go
    Settings next = settings_with_misses();
    next.classes.resize(1);
    next.classes.push_back(next.classes[0]);
    next.classes.back().name = "c" + std::to_string(i);
    router.handle(event::SettingsChanged{next});
    router.request("r" + std::to_string(i), 2, next.classes.back().name);
    router.answer(router.sends.back(), Outcome::ok);
  }
  EXPECT_EQ(router.sends.size(), 51U);
  router.answer(router.sends[0], Outcome::error);
  EXPECT_EQ(router.failed, std::vector<std::string>{"open"});
}

TEST(ClassTable, ChangeOfTheLatencyObjectiveKeepsWhatWasLearntOfTheClass) {
  const auto count_rejected_and_sent = [](bool settings_change) {
    RouterFixture router(settings_with_misses());
    router.update_endpoints({host_entry("w1")});
    for (int i = 0; i < 20; ++i) {
      router.request("r" + std::to_string(i), 1, "safe");
      router.answer(router.sends.back(), Outcome::ok, 900);
    }
    Settings next = settings_with_misses();
    next.classes[0].latency_objective = Millis(950);
    if (settings_change)
      router.handle(event::SettingsChanged{next});
    router.request("last", 1, "safe", 500);  // it cannot be served in what is left
    return router.rejected.size() + router.sends.size();
  };
  EXPECT_EQ(count_rejected_and_sent(true), count_rejected_and_sent(false));
}

}  // namespace
}  // namespace lotusyard::policy::test
