#include "core/rejection_reason.h"

#include "metrics/call_counters.h"

namespace lotusyard::core {

const metrics::Counter& counter_of(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::unknown_class:
      return metrics::kCallsUnknownClass;
    case RejectionReason::missing_key:
      return metrics::kCallsNoKey;
    case RejectionReason::invalid_key:
      return metrics::kCallsBadKey;
    case RejectionReason::unknown_tenant:
      return metrics::kCallsUnknownTenant;
    case RejectionReason::out_of_range:
      return metrics::kCallsBadFigures;
    case RejectionReason::repeated_ref:
      return metrics::kCallsRefRepeated;
    case RejectionReason::key_of_other_request:
      return metrics::kCallsKeyOfAnother;
    case RejectionReason::key_window_over:
      return metrics::kCallsKeyWindowOver;
    case RejectionReason::too_many_keys:
      break;
  }
  return metrics::kCallsKeysFull;
}

}  // namespace lotusyard::core
