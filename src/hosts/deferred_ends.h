// Reports to the dispatcher, in the next iteration of the event loop, the results of requests that were never
// sent.
#pragma once

#include <cstdint>
#include <string>

#include "hosts/connection_services.h"

namespace lotusyard::hosts {

// The dispatcher must not be called from within its own calls to the pool, so these reports are deferred.
class DeferredEnds {
 public:
  explicit DeferredEnds(ConnectionServices& services) : services_(services) {}

  void attempt_ended(const core::Attempt& attempt, core::Outcome outcome);
  void probe_ended(const std::string& host, core::Outcome outcome);
  void load_ended(const std::string& host, std::uint64_t function, core::Outcome outcome);

 private:
  ConnectionServices& services_;
};

}  // namespace lotusyard::hosts
