// Drives the policy: converts calls and outcomes into its events and its actions into steps, and runs its
// timers.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

#include "core/call.h"
#include "core/policy_input.h"
#include "core/steps.h"

namespace lotusyard::core {

// Owns the policy. Each function returns the steps to execute now; these may also concern calls that were
// picked earlier and have waited since. No I/O; the clock is passed in.
class PolicyDriver {
 public:
  PolicyDriver(const Settings& settings, Millis now);

  // Has the policy choose a host for a new call.
  Steps pick(Millis now, CallId id, const Call& call);
  Steps report(Millis now, const PolicyInput& input);
  // Fires the timers that are due.
  Steps tick(Millis now);
  // When the next timer is due; infinite if none is set.
  Millis next_tick() const;
  void set_host_filter(policy::HostFilter* host_filter) { policy_.set_host_filter(host_filter); }
  policy::FunctionTableSize function_table_size() const { return policy_.function_table_size(); }

 private:
  struct Timer {
    Millis due{0};
    // Timers that are due at the same time fire in the order in which they were set.
    std::uint64_t sequence = 0;
    std::uint64_t token = 0;
    bool operator>(const Timer& other) const {
      return std::tie(due, sequence) > std::tie(other.due, other.sequence);
    }
  };

  Steps handle(Millis now, const policy::Event& event);
  void set_timer(Millis now, const policy::action::SetTimer& timer);

  policy::Policy policy_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t timers_set_ = 0;
};

}  // namespace lotusyard::core
