// Why a call is not admitted.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::core {

enum class RejectionReason {
  unknown_class,
  missing_key,  // the class needs an idempotency key
  invalid_key,  // the key cannot be passed on unchanged
  unknown_tenant,
  out_of_range,          // memory, lanes or time-out
  repeated_ref,          // the ref of an open call, or of one that ended a short while ago
  key_of_other_request,  // the key belongs to a call of another function or with another body
  key_window_over,       // hosts may not recognise the key any more
  too_many_keys          // no more keys can be tracked
};

// The counter of calls that were not admitted for this reason.
const metrics::Counter& counter_of(RejectionReason reason);

}  // namespace lotusyard::core
