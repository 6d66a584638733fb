// Passes reports to the policy and executes the steps that it requests, one after the other.
#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "core/policy_driver.h"

namespace lotusyard::core {

// Executing a step may lead to further reports. The steps that these request are queued behind the waiting
// ones, so that no step is executed inside another one.
class PolicyRunner {
 public:
  using Execute = std::function<void(const Step&)>;
  PolicyRunner(const Settings& settings, Millis now, Execute execute)
      : driver_(settings, now), execute_(std::move(execute)) {}

  void pick(Millis now, CallId id, const Call& call) { execute_steps(driver_.pick(now, id, call)); }
  void report(Millis now, const PolicyInput& input) { execute_steps(driver_.report(now, input)); }
  void tick(Millis now) { execute_steps(driver_.tick(now)); }
  // When tick() is due; possibly infinite.
  Millis next_tick() const { return driver_.next_tick(); }
  void set_host_filter(policy::HostFilter* host_filter) { driver_.set_host_filter(host_filter); }
  policy::FunctionTableSize function_table_size() const { return driver_.function_table_size(); }

 private:
  void execute_steps(Steps&& steps);

  PolicyDriver driver_;
  Execute execute_;
  std::deque<Step> queue_;
  bool executing_ = false;
};

}  // namespace lotusyard::core
