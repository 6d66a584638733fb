// Every request gets exactly one answer, whatever the input.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Sends random events, well formed or not, to one invoker.
class RandomInput {
 public:
  explicit RandomInput(unsigned seed) : random_(seed), invoker_(settings_for(seed)) {}

  void handle_random_event();
  // Lets all time-outs pass and checks that each request was answered once.
  void check_answers();

 private:
  static Settings settings_for(unsigned seed);
  // A number from 0 to count - 1.
  int random_below(int count) { return static_cast<int>(random_() % static_cast<unsigned>(count)); }
  void update_endpoints();
  void request();
  void answer();
  void change_settings();

  std::mt19937 random_;
  PolicyFixture invoker_;
  std::map<std::string, Millis> deadlines_;  // by id of the request
};

Settings RandomInput::settings_for(unsigned seed) {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = seed % 2 == 0;
  settings.peer_messages = true;
  settings.invokers = 3;
  return settings;
}

void RandomInput::handle_random_event() {
  switch (random_below(9)) {
    case 0:
      return update_endpoints();
    case 1:
    case 2:
    case 3:
      return request();
    case 4:
      return answer();
    case 5:
      return invoker_.finish_load(numbered("w", random_below(9)), static_cast<std::uint64_t>(random_below(9)),
                                  random_below(40) - 5);
    case 6:
      return invoker_.handle(
          event::PeerMessage{random_below(9) - 2, random_below(2) ? "1 w1\n2" : "\xff nonsense"});
    case 7:
      return invoker_.handle(event::Timer{static_cast<std::uint64_t>(random_below(1000))});
    case 8:
      return change_settings();
    default:
      return invoker_.advance(random_below(60) == 0 ? 200000 : random_below(100));
  }
}

void RandomInput::update_endpoints() {
  std::vector<HostEntry> list;
  for (int i = 0; i < random_below(6); ++i) {
    list.push_back(host_entry(numbered("w", random_below(6)), static_cast<HostState>(random_below(3)),
                              random_below(3) * 1000.0 - 500));
    list.back().weight = random_below(3) - 1;
  }
  invoker_.update_endpoints(list, static_cast<ListKind>(random_below(4)));
}

void RandomInput::request() {
  const double expires_ms = random_below(3000) - 100.0;
  invoker_.memory_mb = random_below(2) ? 1e9 : -5;
  const std::string id = numbered("r", random_below(400));
  if (invoker_.attempts.count(id) != 0 || invoker_.answered.count(id) != 0 || deadlines_.count(id) != 0)
    return;
  deadlines_[id] = invoker_.now + Millis(std::max(0.0, expires_ms));
  invoker_.request(id, static_cast<std::uint64_t>(random_below(5)), random_below(4) ? "safe" : "nobody",
                   expires_ms, random_below(4) - 1);
}

// Includes attempts that ended long ago, and impossible times.
void RandomInput::answer() {
  if (invoker_.sends.empty())
    return;
  const auto index = static_cast<std::size_t>(random_below(static_cast<int>(invoker_.sends.size())));
  invoker_.answer(invoker_.sends[index], static_cast<Outcome>(random_below(9)), random_below(2) ? -50 : 1e12,
                  static_cast<Warmth>(random_below(5)));
}

void RandomInput::change_settings() {
  Settings next = make_settings();
  next.retries.max_attempts = 1 + random_below(3);
  next.classes[0].semantics = random_below(2) ? Semantics::non_idempotent : Semantics::idempotent;
  next.classes[0].latency_objective = Millis(random_below(2) * 500);
  if (random_below(2))
    next.classes.erase(next.classes.begin() + random_below(3));
  invoker_.handle(event::SettingsChanged{next});
}

void RandomInput::check_answers() {
  invoker_.advance(10000);
  for (const auto& [id, deadline] : deadlines_)
    EXPECT_EQ(invoker_.answered.count(id), 1U) << id;
}

TEST(Scheduler, AnswersEveryRequestOnceUnderRandomInput) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomInput input(seed);
    for (int i = 0; i < 600; ++i)
      input.handle_random_event();
    input.check_answers();
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
