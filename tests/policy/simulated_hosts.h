// The hosts of the slow-start simulations: they answer calls and load instances at the times of a simulated
// clock, in milliseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {

// Average work of a call on an idle core, in milliseconds.
constexpr double kMeanWork = 100;

// A random number in [0, 1).
double uniform(std::mt19937_64& random);

// Invokers are identified by their positions in the vector passed to finish_due().
class SimulatedHosts {
 public:
  // `random` must outlive the hosts; it determines how long each call takes.
  explicit SimulatedHosts(std::mt19937_64& random) : random_(random) {}

  void set_cores(const std::string& host, double cores) { cores_[host] = cores; }
  void add_instance(const std::string& host, std::uint64_t function) { instances_[host].insert(function); }
  void remove_instances(const std::string& host) { instances_[host].clear(); }
  // Must be called before an attempt of the call starts.
  void add_call(const std::string& id, std::uint64_t function) { functions_[id] = function; }

  // The call takes longer the more others run beside it; without an instance it is answered within 1 ms.
  void start_call(std::size_t invoker, const action::Send& send, double now);
  void start_load(std::size_t invoker, const action::Load& order, double now);
  // Delivers to the invokers the results of calls and loads that have ended by now.
  void finish_due(double now, std::vector<PolicyFixture>& invokers);
  // All invokers have restarted: what they sent before continues to run, but its answers are discarded.
  void disconnect_invokers() { ++incarnation_; }

 private:
  struct RunningCall {
    std::size_t invoker;
    int incarnation;
    action::Send send;
    Outcome outcome;
    double began;
  };
  struct RunningLoad {
    std::size_t invoker;
    int incarnation;
    action::Load order;
  };
  bool has_instance(const action::Send& send) {
    return instances_[send.host].count(functions_[send.id]) != 0;
  }
  void finish_calls(double now, std::vector<PolicyFixture>& invokers);
  void finish_loads(double now, std::vector<PolicyFixture>& invokers);

  std::mt19937_64& random_;
  int incarnation_ = 0;
  std::multimap<double, RunningCall> running_calls_;  // by the time at which they end
  std::multimap<double, RunningLoad> running_loads_;
  std::map<std::string, double> cores_;
  std::map<std::string, std::set<std::uint64_t>> instances_;  // functions, by host
  std::map<std::string, int> in_flight_;                      // calls, by host
  std::map<std::string, std::uint64_t> functions_;            // by id of the call
};

}  // namespace lotusyard::policy::test
