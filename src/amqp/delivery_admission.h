// Decisions on whether a delivery may become a call. No I/O.
#pragma once

#include <optional>

#include "amqp/delivery_cache.h"
#include "core/types.h"
#include "idempotency/result_ledger.h"
#include "metrics/counter.h"

namespace lotusyard::amqp {

// Why a delivery does not become a call.
enum class Rejection {
  malformed,     // see DeliveryError
  expired,       // nobody waits for the answer any more
  may_have_run,  // an earlier delivery may have run, and the call must not run twice
  unrecorded,    // the durable store cannot record the call
  too_many_open
};

// How a rejected delivery is answered and counted.
struct RejectionResult {
  core::CallStatus status;
  const metrics::Counter& counter;
};
RejectionResult result_of(Rejection rejection);

// Decides on a delivery by the cached answer of its call, which has ended.
idempotency::Decision decide_by_answer(const CachedDelivery& cached,
                                       const idempotency::DeliveryFacts& delivery, bool sole_consumer);

// Whether a redelivered call may have run in another process, or in this one before a restart or before it
// was evicted from the cache. `max_age` is the greatest age that the message can have, if it is known.
bool may_have_run(policy::Semantics semantics, const std::optional<core::Millis>& max_age);

// Whether the client of a redelivered call that is not run may be told that a retry is harmless. A
// non-idempotent call must have been proven not to have run.
bool is_retry_harmless(const policy::ClassSettings& call_class, const std::optional<core::Millis>& max_age);

// Whether a redelivered call may be one that must not run twice, by the class that its message names; null if
// there is no such class now.
bool may_be_non_idempotent(const policy::ClassSettings* call_class);

}  // namespace lotusyard::amqp
