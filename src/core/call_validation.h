// Validates the fields of a call, independently of the front end that parsed it.
#pragma once

#include <optional>

#include "core/call.h"
#include "core/rejection_reason.h"

namespace lotusyard::core {

// Returns nothing if the call is valid. An invalid call must not reach a host: no host could run it, it would
// use up the quota of loads, and a host may close the connection on which other calls wait.
std::optional<RejectionReason> validate_call(const Call& call, const Settings& settings);

}  // namespace lotusyard::core
