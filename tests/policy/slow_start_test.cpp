// The slow-start budget of a host holds for the sum over all processes, whatever their number, also through
// restarts and reloads of the processes, whole lists, and a host that starts again within its window.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>

#include "policy/slow_start_day.h"

namespace lotusyard::policy::test {
namespace {

class SlowStart : public testing::TestWithParam<Scenario> {};

TEST_P(SlowStart, SumOverProcessesStaysWithinTheBudget) {
  struct Rule {
    double window, multiple;
  };
  for (const Rule rule : {Rule{500, 2.5}, Rule{2000, 2.0}}) {
    for (const int processes : {1, 2, 3, 30, 300}) {
      Worst worst;
      for (std::uint64_t seed = 1; seed <= (processes < 300 ? 3 : 1); ++seed) {
        SlowStartDay day(GetParam().disturbance, processes, rule.window, rule.multiple, seed);
        const Worst other = day.play();
        if (seed == 1 || other.part() > worst.part())
          worst = other;
      }
      std::printf("| %s | %.0f ms | %d | %d | %.1f | %d |\n", GetParam().name, rule.window, processes,
                  worst.calls, worst.allowed, worst.total);
      EXPECT_LE(worst.calls, worst.allowed) << processes << " processes, window " << rule.window;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Cases, SlowStart, testing::ValuesIn(kScenarios),
                         [](const auto& scenario) { return "Case" + std::to_string(scenario.index); });

// Many processes at one moment, in the plainest form: two hosts of four cores, of which h0 starts.
struct Crowd {
  explicit Crowd(int count) {
    Settings s = settings();
    s.routers = count;
    s.host_protocol.answers_misses = true;
    s.slow_start.window = Millis(500);
    s.slow_start.factor = 2.5;
    s.slow_start.initial = 0.25;
    for (s.rank = 0; s.rank < count; ++s.rank) {
      s.seed = static_cast<std::uint64_t>(s.rank) + 1;
      processes.emplace_back(s);
      processes.back().list(hosts(0));
    }
  }
  static std::vector<HostEntry> hosts(double started) {
    std::vector<HostEntry> list{entry("h0", HostState::ready, started), entry("h1")};
    for (auto& host : list)
      host.weight = 4;
    return list;
  }
  void request(const std::string& id) {
    for (auto& process : processes)
      process.request(id, 1, "safe", 2000, 4);
  }
  // Answers all that is out, by host; counts what h0 got.
  int answer(Outcome at_h0, Outcome at_h1, double elapsed) {
    int calls = 0;
    for (auto& process : processes) {
      process.pass(elapsed);
      for (const auto& send : std::exchange(process.sends, {})) {
        calls += send.host == "h0";
        process.answer(send, send.host == "h0" ? at_h0 : at_h1, elapsed, Warmth::unknown);
      }
    }
    return calls;
  }
  std::vector<Router> processes;
};

// Of four cores, 0.25 of 2.5 times what they do in 500 ms: 12.5 calls of 100 ms, and chance.
const double kCrowdAllowed = 12.5 + 3 * std::sqrt(12.5) + 3;

TEST(SlowStartCrowd, CopiesThatStoodBeforeTheStartAreNotUsedRightAfterIt) {
  for (const int count : {1, 2, 3, 30, 300}) {
    Crowd crowd(count);
    for (int i = 0; i < 20; ++i) {
      crowd.request("warm" + std::to_string(i));
      crowd.answer(Outcome::ok, Outcome::ok, 100);
    }
    for (auto& process : crowd.processes)
      process.list(Crowd::hosts(process.now.count()), ListKind::full);
    crowd.request("first");
    const int calls = crowd.answer(Outcome::no_instance, Outcome::ok, 1);
    std::printf("| calls at the start | 500 ms | %d | %d | %.1f |\n", count, calls, kCrowdAllowed);
    EXPECT_LE(calls, kCrowdAllowed) << count;
  }
}

TEST(SlowStartCrowd, LoadsThatEndTogetherBringNoBurst) {
  for (const int count : {1, 2, 3, 30, 300}) {
    Crowd crowd(count);
    for (int i = 0; i < 20; ++i) {
      crowd.request("warm" + std::to_string(i));
      crowd.answer(Outcome::ok, Outcome::ok, 100);
    }
    for (auto& process : crowd.processes)
      process.list(Crowd::hosts(process.now.count()), ListKind::full);
    for (auto& process : crowd.processes)
      process.pass(50);  // beliefs from before the start have lapsed
    int calls = 0;
    for (int i = 0; i < 3; ++i) {
      crowd.request("missed" + std::to_string(i));
      calls += crowd.answer(Outcome::no_instance, Outcome::no_instance, 1);
    }
    for (auto& process : crowd.processes) {
      for (const auto& order : std::exchange(process.loads, {}))
        process.loaded(order.host, order.function, 1);
    }
    calls += crowd.answer(Outcome::ok, Outcome::ok, 100);
    std::printf("| loads that end together | 500 ms | %d | %d | %.1f |\n", count, calls, kCrowdAllowed);
    EXPECT_LE(calls, kCrowdAllowed) << count;
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
