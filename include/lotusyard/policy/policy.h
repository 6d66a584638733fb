// The decision module's interface: settings and events go in, actions come out. It does no I/O and reads no
// clock; the caller passes the time with each event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lotusyard/policy/actions.h"
#include "lotusyard/policy/events.h"
#include "lotusyard/policy/settings.h"

namespace lotusyard::policy {

// Restricts hosts by rules outside the module, such as certificates and maintenance. Queried wherever a host
// is considered.
class HostFilter {
 public:
  virtual ~HostFilter() = default;
  // Whether a call of the tenant for the function, or an instance for it, may be at the host now.
  virtual bool allows(const std::string& tenant, std::uint64_t function, const std::string& host) = 0;
};

// The size of the table of functions.
struct FunctionTableSize {
  std::size_t functions = 0;
  std::size_t bytes = 0;      // estimated, as of the latest sweep
  std::uint64_t evicted = 0;  // functions that were dropped because the table was full
};

// The decisions of one invoker. The first event is a Start.
class Policy {
 public:
  Policy();
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  // The filter has to outlive the policy; null allows every host.
  void set_host_filter(HostFilter* host_filter);
  // Handles one event at time `now` and appends the resulting actions.
  void handle(Millis now, const Event& event, std::vector<Action>& out);
  // Zero before the first event::Start.
  FunctionTableSize function_table_size() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lotusyard::policy
