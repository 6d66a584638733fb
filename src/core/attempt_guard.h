// Checks whether an attempt that the policy requests may be sent. The policy follows the same rules; this
// check stops an attempt that would break one because of a fault in the policy.
#pragma once

#include <string>

#include "core/host_locations.h"
#include "core/idempotency_keys.h"
#include "core/open_call.h"

namespace lotusyard::core {

// The rules: the limits on attempts, on attempts in flight and on time are not exceeded; a hedged request
// goes to another host; a call that may have run is sent again only if its class is idempotent, or to hosts
// that recognise its idempotency key.
class AttemptGuard {
 public:
  // Both must outlive the AttemptGuard.
  AttemptGuard(const IdempotencyKeys& keys, const HostLocations& host_locations)
      : keys_(keys), host_locations_(host_locations) {}

  // `attempt_timeout` is the time that is left for the attempt.
  bool allows(const OpenCall& open, const std::string& host, Millis attempt_timeout, Millis now) const;

 private:
  bool may_run_again_at(const OpenCall& open, const std::string& host, Millis now) const;
  bool is_key_recognised_at(const OpenCall& open, const std::string& host, Millis now) const;

  const IdempotencyKeys& keys_;
  const HostLocations& host_locations_;
};

}  // namespace lotusyard::core
