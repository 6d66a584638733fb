// Whether an attempt that the policy asks for may be sent. The policy keeps the same rules; this check stops
// an attempt that would break one because of a fault in the policy.
#pragma once

#include <string>

#include "core/host_locations.h"
#include "core/idempotency_keys.h"
#include "core/open_call.h"

namespace lotusyard::core {

// The rules: attempts left, in flight and in time; a hedged request goes to another host; a call that may
// have run runs again only if its class is idempotent, or at hosts that recognise its idempotency key.
class AttemptGuard {
 public:
  // Both must outlive the AttemptGuard.
  AttemptGuard(const IdempotencyKeys& keys, const HostLocations& host_locations)
      : keys_(keys), host_locations_(host_locations) {}

  // `attempt_timeout` is what is left for the attempt.
  bool allows(const OpenCall& open, const std::string& host, Millis attempt_timeout, Millis now) const;

 private:
  bool may_run_again_at(const OpenCall& open, const std::string& host, Millis now) const;
  bool is_key_recognised_at(const OpenCall& open, const std::string& host, Millis now) const;

  const IdempotencyKeys& keys_;
  const HostLocations& host_locations_;
};

}  // namespace lotusyard::core
