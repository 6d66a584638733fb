// The state that all components of the policy share: clock, settings, actions, random numbers, host filter.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "lotusyard/policy/policy.h"
#include "policy/records.h"

namespace lotusyard::policy {

// One per Scheduler. The components have a reference to it; only the Scheduler changes clock and settings.
class Context {
 public:
  Context(Millis now, HostFilter* host_filter) : now_(now), host_filter_(host_filter) {}

  // Starts an event at time `now`, whose actions are appended to `actions`.
  void begin_event(Millis now, std::vector<Action>& actions);
  // Applies new settings. The classes are in ClassTable: `settings().classes` is empty.
  void apply_settings(const Settings& settings);
  void set_host_filter(HostFilter* host_filter) { host_filter_ = host_filter; }
  void seed(std::uint64_t value) { random_.seed(value); }

  Millis now() const { return now_; }
  const Settings& settings() const { return settings_; }
  // Appends an action to those of the current event.
  void emit(Action&& action);

  // A random number in [0, 1), in steps of a thousandth. Each call is one draw.
  double random_fraction();
  // exp(-(now - since) / time_constant): the remaining weight of a value measured at `since`.
  double decay(Millis since, Millis time_constant) const;
  // True if so many invokers share the fleet that each sees only a small part of a function's calls.
  bool many_invokers() const { return settings_.invokers >= kManyInvokers; }
  // This invoker's fraction of the slow-start budget of all invokers.
  double own_share() const {
    return settings_.slow_start.quota > 0 ? settings_.slow_start.quota : 1.0 / settings_.invokers;
  }

  // True if the host filter allows calls of the tenant for the function on the host.
  bool is_eligible(const std::string& tenant, const Function& function, const Host& host) const {
    return host_filter_ == nullptr || host_filter_->allows(tenant, function.id, host.entry.host);
  }
  bool has_host_filter() const { return host_filter_ != nullptr; }

 private:
  Millis now_;
  HostFilter* host_filter_;
  Settings settings_;
  std::vector<Action>* actions_ = nullptr;
  std::mt19937_64 random_;
};

}  // namespace lotusyard::policy
