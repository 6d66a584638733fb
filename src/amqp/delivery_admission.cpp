#include "amqp/delivery_admission.h"

#include "metrics/amqp_counters.h"

namespace lotusyard::amqp {

using core::CallStatus;
using idempotency::Decision;
using policy::Semantics;

RejectionResult result_of(Rejection rejection) {
  switch (rejection) {
    case Rejection::malformed:
      break;
    case Rejection::expired:
      return {CallStatus::rejected, metrics::kAmqpExpired};
    case Rejection::may_have_run:
      return {CallStatus::failed, metrics::kAmqpMayHaveRun};
    case Rejection::unrecorded:
      return {CallStatus::rejected, metrics::kAmqpUnrecorded};
    case Rejection::too_many_open:
      return {CallStatus::rejected, metrics::kAmqpTooManyOpen};
  }
  return {CallStatus::failed, metrics::kAmqpBadCall};
}

Decision decide_by_answer(const CachedDelivery& cached, const idempotency::DeliveryFacts& delivery,
                          bool sole_consumer) {
  const CallStatus status = cached.answer->status;
  if (status == CallStatus::succeeded)
    return Decision::answer;
  if (!cached.non_idempotent)
    return delivery.redelivered ? Decision::answer : Decision::run;
  if (status == CallStatus::rejected)
    return idempotency::decide_after_rejection(delivery, sole_consumer);
  return Decision::answer;
}

bool may_have_run(Semantics semantics, const std::optional<core::Millis>& max_age) {
  switch (semantics) {
    case Semantics::non_idempotent:
      return true;
    case Semantics::idempotent_with_key:
      // It may run again while hosts still recognize its key, which only its time of publication can show.
      return !max_age;
    case Semantics::idempotent:
      break;
  }
  return false;
}

bool is_retry_harmless(const policy::ClassSettings& call_class, const std::optional<core::Millis>& max_age) {
  if (call_class.semantics != Semantics::idempotent_with_key)
    return true;
  // The host that ran it is not known: each host must recognise the key.
  return call_class.scope == policy::KeyScope::all && max_age && *max_age < call_class.key_window;
}

bool may_be_non_idempotent(const policy::ClassSettings* call_class) {
  return call_class == nullptr || call_class->semantics == Semantics::non_idempotent;
}

}  // namespace lotusyard::amqp
