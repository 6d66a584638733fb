// Many processes that act simultaneously right after a host has started. There are two hosts of four cores,
// of which h0 starts.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

class ProcessGroup {
 public:
  explicit ProcessGroup(int count);

  // All processes have a warm instance on both hosts.
  void warm_up();
  // All processes are notified that h0 starts now.
  void start_h0();
  void advance(double duration_ms);
  void request(const std::string& id);
  // Answers all calls in flight, by host; returns how many of them were at h0.
  int answer(Outcome at_h0, Outcome at_h1, double elapsed_ms);
  // Answers all load orders.
  void finish_loads();

 private:
  static Settings settings_for(int count);
  static std::vector<HostEntry> hosts(double h0_started_ms);

  std::vector<PolicyFixture> processes_;
};

ProcessGroup::ProcessGroup(int count) {
  Settings settings = settings_for(count);
  for (settings.rank = 0; settings.rank < count; ++settings.rank) {
    settings.seed = static_cast<std::uint64_t>(settings.rank) + 1;
    processes_.emplace_back(settings);
    processes_.back().update_endpoints(hosts(0));
  }
}

Settings ProcessGroup::settings_for(int count) {
  Settings settings = make_settings();
  settings.invokers = count;
  settings.host_protocol.answers_misses = true;
  settings.slow_start.window = Millis(500);
  settings.slow_start.factor = 2.5;
  settings.slow_start.initial = 0.25;
  return settings;
}

std::vector<HostEntry> ProcessGroup::hosts(double h0_started_ms) {
  std::vector<HostEntry> list{host_entry("h0", HostState::ready, h0_started_ms), host_entry("h1")};
  for (auto& host : list)
    host.weight = 4;
  return list;
}

void ProcessGroup::warm_up() {
  for (int i = 0; i < 20; ++i) {
    request("warm" + std::to_string(i));
    answer(Outcome::ok, Outcome::ok, 100);
  }
}

void ProcessGroup::start_h0() {
  for (auto& process : processes_)
    process.update_endpoints(hosts(process.now.count()), ListKind::full);
}

void ProcessGroup::advance(double duration_ms) {
  for (auto& process : processes_)
    process.advance(duration_ms);
}

void ProcessGroup::request(const std::string& id) {
  for (auto& process : processes_)
    process.request(id, 1, "safe", 2000, 4);
}

int ProcessGroup::answer(Outcome at_h0, Outcome at_h1, double elapsed_ms) {
  int calls_at_h0 = 0;
  for (auto& process : processes_) {
    process.advance(elapsed_ms);
    for (const auto& send : std::exchange(process.sends, {})) {
      const bool is_at_h0 = send.host == "h0";
      if (is_at_h0)
        ++calls_at_h0;
      process.answer(send, is_at_h0 ? at_h0 : at_h1, elapsed_ms, Warmth::unknown);
    }
  }
  return calls_at_h0;
}

void ProcessGroup::finish_loads() {
  for (auto& process : processes_) {
    for (const auto& order : std::exchange(process.loads, {}))
      process.finish_load(order.host, order.function, 1);
  }
}

// 0.25 of 2.5 times the work of four cores in 500 ms: 12.5 calls of 100 ms, and a margin for chance.
const double kAllowedCalls = 12.5 + 3 * std::sqrt(12.5) + 3;

TEST(SlowStartBurst, InstancesFromBeforeTheStartAreNotUsedRightAfterIt) {
  for (const int count : {1, 2, 3, 30, 300}) {
    ProcessGroup processes(count);
    processes.warm_up();
    processes.start_h0();
    processes.request("first");
    const int calls = processes.answer(Outcome::no_instance, Outcome::ok, 1);
    std::printf("| calls at the start | 500 ms | %d | %d | %.1f |\n", count, calls, kAllowedCalls);
    EXPECT_LE(calls, kAllowedCalls) << count;
  }
}

TEST(SlowStartBurst, LoadsThatEndTogetherCauseNoBurst) {
  for (const int count : {1, 2, 3, 30, 300}) {
    ProcessGroup processes(count);
    processes.warm_up();
    processes.start_h0();
    processes.advance(50);  // instances from before the start have expired
    int calls = 0;
    for (int i = 0; i < 3; ++i) {
      processes.request("missed" + std::to_string(i));
      calls += processes.answer(Outcome::no_instance, Outcome::no_instance, 1);
    }
    processes.finish_loads();
    calls += processes.answer(Outcome::ok, Outcome::ok, 100);
    std::printf("| loads that end together | 500 ms | %d | %d | %.1f |\n", count, calls, kAllowedCalls);
    EXPECT_LE(calls, kAllowedCalls) << count;
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
