// Simulates processes without shared state while hosts start, and counts the calls that they send to these
// hosts in total.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "policy/policy_fixture.h"
#include "policy/simulated_hosts.h"
#include "policy/slow_start_scenarios.h"

namespace lotusyard::policy::test {

class SlowStartSimulation {
 public:
  // `window_ms` and `factor` are those of SlowStartSettings. The same seed gives the same run.
  SlowStartSimulation(Disturbance disturbance, int processes, double window_ms, double factor,
                      std::uint64_t seed);

  WorstWindow run();

 private:
  bool is_now(double time) const { return now_ >= time && now_ < time + kStep; }
  StartingHost& host(int index) { return hosts_[static_cast<std::size_t>(index)]; }
  StartingHost& host(const std::string& name) { return host(name[1] - '0'); }
  // The number of processes before or after a reload that changes it.
  int third_of_processes() const;

  PolicyFixture make_process(int rank, int processes);
  void make_processes();
  // The full list, with the starts up to `time`.
  std::vector<HostEntry> list_made_at(double time);
  std::vector<HostEntry> starting_entries();

  void step();
  void disturb();
  void disturb_processes();
  void disturb_lists();
  void start_hosts();
  void restart_processes(double list_time);
  void change_process_count(int count);
  // Sends the current list to all processes, and counts their calls from now on.
  void notify(ListKind kind);
  bool is_quiet() const;
  void request_calls();
  void request_call();
  void start_calls_and_loads();

  // Compares the calls to the host since its start with its budget, window by window.
  void check_windows(const StartingHost& host);
  double allowed_calls(const StartingHost& host, double window_began) const;

  const Disturbance disturbance_;
  const int process_count_;
  const double window_;
  const double factor_;
  std::mt19937_64 random_;
  SimulatedHosts simulated_hosts_{random_};
  std::vector<StartingHost> hosts_;
  int starting_hosts_ = 1;  // the number of hosts that start: the first ones
  int live_processes_ = 0;
  int last_call_id_ = 0;
  double now_ = 0;
  double next_call_at_ = 0;
  Settings settings_;  // of the latest process
  std::vector<PolicyFixture> processes_;
  std::vector<bool> notified_;  // by process
  WorstWindow worst_;
};

}  // namespace lotusyard::policy::test
