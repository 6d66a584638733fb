// What all parts of the policy share while an event is handled: clock, settings, actions, randomness, gate.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "policy/records.h"
#include "robinfold/policy.h"

namespace robinfold {

// One per Scheduler. The parts hold a reference to it; only the Scheduler changes clock and settings.
class Context {
 public:
  Context(Millis now, Gate* gate) : now_(now), gate_(gate) {}

  // Starts an event at time `now`, whose actions are appended to `actions`.
  void begin_event(Millis now, std::vector<Action>& actions);
  // Takes new settings. The classes are in ClassTable: `settings().classes` is empty.
  void apply_settings(const Settings& settings);
  void set_gate(Gate* gate) { gate_ = gate; }
  void seed(std::uint64_t value) { random_.seed(value); }

  Millis now() const { return now_; }
  const Settings& settings() const { return settings_; }
  // Appends an action to those of the event that is handled.
  void emit(Action&& action);

  // A random number in [0, 1), in steps of a thousandth. Each call is one draw.
  double random_fraction();
  // exp(-(now - since) / time_constant): what is left of something measured at `since`.
  double decay(Millis since, Millis time_constant) const;
  // True where so many routers share the fleet that each sees a sliver of a function's calls.
  bool many_routers() const { return settings_.routers >= kManyRouters; }
  // This router's part of what all routers may do together.
  double own_share() const { return settings_.share > 0 ? settings_.share : 1.0 / settings_.routers; }

  // True if the gate lets calls of the tenant for the function go to the host.
  bool is_eligible(const std::string& tenant, const Function& function, const Host& host) const {
    return gate_ == nullptr || gate_->open(tenant, function.id, host.entry.worker);
  }
  bool has_gate() const { return gate_ != nullptr; }

 private:
  Millis now_;
  Gate* gate_;
  Settings settings_;
  std::vector<Action>* actions_ = nullptr;
  std::mt19937_64 random_;
};

}  // namespace robinfold
