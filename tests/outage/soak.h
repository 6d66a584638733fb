// A run with random faults of discovery, hosts and processes, generated from one seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "outage/checker.h"
#include "outage/outage_harness.h"
#include "support/random_input.h"

namespace lotusyard::test::outage {

class Soak {
 public:
  explicit Soak(std::uint64_t seed);

  // Injects faults for this long, then ends all faults and waits until calls are served again.
  void run(Millis duration);

  OutageHarness harness;
  Rules rules;
  // Log of the steps, printed if a check fails.
  std::vector<std::string> steps;
  double final_served_share = 0;

 private:
  // The scheduled end of a fault, or of a stage of it.
  struct ScheduledEnd {
    double at = 0;
    std::function<void()> end;
  };

  Random random_;
  std::vector<ScheduledEnd> scheduled_ends_;
  bool outage_ = false;
  std::vector<std::shared_ptr<ServiceClient>> idle_clients_;
  std::vector<bool> busy_hosts_;                      // hosts that a fault is affecting
  std::vector<const HarnessInvoker*> busy_invokers_;  // invokers that a fault is affecting

  static HarnessOptions options_for(std::uint64_t seed);
  double random_between(double least, double most);
  void log_step(const std::string& step);
  void schedule_end(double after, std::function<void()> end);
  void run_ends(bool all);
  void step();
  void begin_outage();
  bool pick_host(std::size_t& host);
  // Removes the host after the first delay, and restarts it after the second one.
  void remove_and_restart(std::size_t host, double leaves_after, double is_away_for);
  void drain_hosts();
  void kill_host();
  void hang_host();
  void reset_connections();
  HarnessInvoker* pick_invoker();
  void release(const HarnessInvoker& invoker);
  void reload_invoker();
  void stop_invoker();
  void kill_invoker();
  void terminate_invoker();
  void open_idle_connections();
};

}  // namespace lotusyard::test::outage
