// The slow-start budget of a host limits the sum over all processes, whatever their number, also during
// restarts and reloads of the processes, full lists, and a host that starts again within its window.
#include <gtest/gtest.h>

#include <cstdio>

#include "policy/slow_start_simulation.h"

namespace lotusyard::policy::test {
namespace {

struct SlowStartRule {
  double window_ms;
  double factor;
};

// The worst of three simulated runs, or of one with 300 processes.
WorstWindow find_worst_window(Disturbance disturbance, const SlowStartRule& rule, int processes) {
  const std::uint64_t runs = processes < 300 ? 3 : 1;
  WorstWindow worst;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    SlowStartSimulation simulation(disturbance, processes, rule.window_ms, rule.factor, seed);
    const WorstWindow other = simulation.run();
    if (seed == 1 || other.used_fraction() > worst.used_fraction())
      worst = other;
  }
  return worst;
}

class SlowStartDisturbance : public testing::TestWithParam<Scenario> {};

TEST_P(SlowStartDisturbance, SumOverProcessesStaysWithinTheBudget) {
  for (const SlowStartRule rule : {SlowStartRule{500, 2.5}, SlowStartRule{2000, 2.0}}) {
    for (const int processes : {1, 2, 3, 30, 300}) {
      const WorstWindow worst = find_worst_window(GetParam().disturbance, rule, processes);
      std::printf("| %s | %.0f ms | %d | %d | %.1f | %d |\n", GetParam().name, rule.window_ms, processes,
                  worst.calls, worst.allowed, worst.total_calls);
      EXPECT_LE(worst.calls, worst.allowed) << processes << " processes, window " << rule.window_ms;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Cases, SlowStartDisturbance, testing::ValuesIn(kScenarios),
                         [](const auto& scenario) { return "Case" + std::to_string(scenario.index); });

}  // namespace
}  // namespace lotusyard::policy::test
