// Why a call is not admitted.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::core {

enum class RejectionReason {
  unknown_class,
  missing_key,  // the class needs an idempotency key
  invalid_key,  // the key cannot be sent on unchanged
  unknown_tenant,
  out_of_range,          // memory, lanes or time-out
  repeated_ref,          // another call has or had the same ref; they would get each other's answers
  key_of_other_request,  // the key stands for another function or body
  key_window_over,       // hosts may have forgotten the key
  too_many_keys
};

const metrics::Counter& counter_of(RejectionReason reason);

}  // namespace lotusyard::core
