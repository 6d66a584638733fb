// A run in which discovery, hosts and processes fail at random, from one seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "outage/checker.h"
#include "outage/outage_rig.h"
#include "support/random_input.h"

namespace lotusyard::test::outage {

class Soak {
 public:
  explicit Soak(std::uint64_t seed);

  // Runs for so long, then ends all faults and waits until calls are served again.
  void run(Millis duration);

  OutageRig rig;
  Rules rules;
  // What happened, for the report of a failure.
  std::vector<std::string> steps;
  double served_at_the_end = 0;

 private:
  // A fault that ends by itself.
  struct Ending {
    double at = 0;
    std::function<void()> end;
  };

  Random random_;
  std::vector<Ending> endings_;
  bool outage_ = false;
  std::vector<std::shared_ptr<ServiceClient>> crowd_;
  std::vector<bool> busy_hosts_;                     // something happens to the host
  std::vector<const RiggedInvoker*> busy_invokers_;  // or to the invoker

  static RigOptions options_for(std::uint64_t seed);
  double between(double least, double most);
  void note(const std::string& step);
  void end_later(double after, std::function<void()> end);
  void run_endings(bool all);
  void step();
  void begin_outage();
  bool take_host(std::size_t& host);
  // The host leaves after the first span, and is back after the second one.
  void leave_and_return(std::size_t host, double leaves_after, double is_away_for);
  void drain_hosts();
  void kill_host();
  void hang_host();
  void reset_connections();
  RiggedInvoker* take_invoker();
  void release(const RiggedInvoker& invoker);
  void reload_invoker();
  void stop_invoker();
  void kill_invoker();
  void terminate_invoker();
  void gather_crowd();
};

}  // namespace lotusyard::test::outage
