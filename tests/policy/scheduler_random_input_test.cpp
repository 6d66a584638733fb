// Any input at any moment: every request has exactly one answer.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Plays random events, well formed or not, into one router.
class RandomInput {
 public:
  explicit RandomInput(unsigned seed) : random_(seed), router_(settings_for(seed)) {}

  void play_event();
  // Lets all time-outs pass and checks that each request was answered, and once only.
  void check_answers();

 private:
  static Settings settings_for(unsigned seed);
  // A number from 0 to count - 1.
  int any(int count) { return static_cast<int>(random_() % static_cast<unsigned>(count)); }
  void update_endpoints();
  void request();
  void answer();
  void change_settings();

  std::mt19937 random_;
  RouterFixture router_;
  std::map<std::string, Millis> deadlines_;  // by id of the request
};

Settings RandomInput::settings_for(unsigned seed) {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = seed % 2 == 0;
  settings.peer_messages = true;
  settings.invokers = 3;
  return settings;
}

void RandomInput::play_event() {
  switch (any(9)) {
    case 0:
      return update_endpoints();
    case 1:
    case 2:
    case 3:
      return request();
    case 4:
      return answer();
    case 5:
      return router_.finish_load(numbered("w", any(9)), static_cast<std::uint64_t>(any(9)), any(40) - 5);
    case 6:
      return router_.handle(event::PeerMessage{any(9) - 2, any(2) ? "1 w1\n2" : "\xff nonsense"});
    case 7:
      return router_.handle(event::Timer{static_cast<std::uint64_t>(any(1000))});
    case 8:
      return change_settings();
    default:
      return router_.advance(any(60) == 0 ? 200000 : any(100));
  }
}

void RandomInput::update_endpoints() {
  std::vector<HostEntry> list;
  for (int i = 0; i < any(6); ++i) {
    list.push_back(host_entry(numbered("w", any(6)), static_cast<HostState>(any(3)), any(3) * 1000.0 - 500));
    list.back().weight = any(3) - 1;
  }
  router_.update_endpoints(list, static_cast<ListKind>(any(4)));
}

void RandomInput::request() {
  const double expires_ms = any(3000) - 100.0;
  router_.memory_mb = any(2) ? 1e9 : -5;
  const std::string id = numbered("r", any(400));
  if (router_.attempts.count(id) != 0 || router_.answered.count(id) != 0 || deadlines_.count(id) != 0)
    return;
  deadlines_[id] = router_.now + Millis(std::max(0.0, expires_ms));
  router_.request(id, static_cast<std::uint64_t>(any(5)), any(4) ? "safe" : "nobody", expires_ms, any(4) - 1);
}

// Also of attempts that ended long ago, and with impossible times.
void RandomInput::answer() {
  if (router_.sends.empty())
    return;
  const auto index = static_cast<std::size_t>(any(static_cast<int>(router_.sends.size())));
  router_.answer(router_.sends[index], static_cast<Outcome>(any(9)), any(2) ? -50 : 1e12,
                 static_cast<Warmth>(any(5)));
}

void RandomInput::change_settings() {
  Settings next = make_settings();
  next.retries.max_attempts = 1 + any(3);
  next.classes[0].semantics = any(2) ? Semantics::non_idempotent : Semantics::idempotent;
  next.classes[0].latency_objective = Millis(any(2) * 500);
  if (any(2))
    next.classes.erase(next.classes.begin() + any(3));
  router_.handle(event::SettingsChanged{next});
}

void RandomInput::check_answers() {
  router_.advance(10000);
  for (const auto& [id, deadline] : deadlines_)
    EXPECT_EQ(router_.answered.count(id), 1U) << id;
}

TEST(Scheduler, AnswersEveryRequestOnceUnderRandomInput) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomInput input(seed);
    for (int i = 0; i < 600; ++i)
      input.play_event();
    input.check_answers();
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
