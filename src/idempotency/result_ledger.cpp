#include "idempotency/result_ledger.h"

#include <algorithm>

namespace lotusyard::idempotency {
namespace {

// Its rejection may have been published without a record of it, so that the message was published again.
Decision decide_after_cleared_attempt(const DeliveryFacts& delivery, bool sole_consumer) {
  return delivery.redelivered && !sole_consumer ? Decision::fail_may_have_run : Decision::run;
}

Decision decide_by_record(const ResultRecord& record, const DeliveryFacts& delivery, bool sole_consumer) {
  switch (record.stage) {
    case ResultStage::sent:
      return Decision::fail_may_have_run;
    case ResultStage::cleared:
      return decide_after_cleared_attempt(delivery, sole_consumer);
    case ResultStage::answered:
    case ResultStage::confirmed:
      break;
  }
  return proves_not_run(record) ? decide_after_rejection(delivery, sole_consumer) : Decision::answer;
}

// Whether the store would have a record of the call if it had been sent. A publication time in the future
// shows that this clock is behind; complete_from, which is bounded by this clock, may then be too early.
bool is_covered(const DeliveryFacts& delivery, const StoreTrust& trust) {
  if (!delivery.published)
    return false;
  const Millis earliest_publication = *delivery.published - kClockSkew;
  return earliest_publication >= trust.complete_from && earliest_publication <= trust.now;
}

// The number of records over the limits.
std::size_t records_over_limits(const Size& size, const Bounds& bounds) {
  const std::size_t bytes_per_record = size.records == 0 ? 0 : size.bytes / size.records;
  const std::size_t over_count = size.records > bounds.max_records ? size.records - bounds.max_records : 0;
  std::size_t over_bytes = 0;
  if (size.bytes > bounds.max_bytes && bytes_per_record > 0)
    over_bytes = (size.bytes - bounds.max_bytes) / bytes_per_record + 1;
  return std::max(over_count, over_bytes);
}

}  // namespace

bool proves_not_run(const ResultRecord& record) {
  if (record.stage == ResultStage::cleared)
    return true;
  return record.stage != ResultStage::sent && record.answer.status == core::CallStatus::rejected;
}

Decision decide_after_rejection(const DeliveryFacts& delivery, bool sole_consumer) {
  if (!delivery.redelivered)
    return Decision::run;  // the message was published again after the rejection
  return sole_consumer || delivery.same_publication ? Decision::answer : Decision::fail_may_have_run;
}

Decision decide(const std::optional<ResultRecord>& known, const DeliveryFacts& delivery,
                const StoreTrust& trust) {
  // A store that cannot be read may hold a record of a run.
  if (!trust.healthy)
    return delivery.redelivered ? Decision::fail_may_have_run : Decision::refuse_unrecorded;
  if (known)
    return decide_by_record(*known, delivery, trust.sole_consumer);
  if (!delivery.redelivered)
    return Decision::run;
  // A call without a record may have been pruned, or have run at another consumer.
  return trust.sole_consumer && is_covered(delivery, trust) ? Decision::run : Decision::fail_may_have_run;
}

bool may_follow(const std::optional<ResultStage>& from, ResultStage to) {
  switch (to) {
    case ResultStage::sent:
      return from != ResultStage::sent;  // after `answered` and `confirmed`: a retry after a rejection
    case ResultStage::cleared:
      return from == ResultStage::sent;
    case ResultStage::answered:
      return true;  // a call may be rejected before it is sent
    case ResultStage::confirmed:
      return from == ResultStage::answered || from == ResultStage::confirmed;
  }
  return false;
}

// Every call that is sent from now on is recorded, so a mark at `now` would be correct. The additional clock
// step allows for a clock that has been set back wrongly.
Millis bounded_mark(Millis mark, Millis now) { return std::min(mark, now + kClockStep); }

Pruning prune(const Size& size, std::size_t answered, const Bounds& bounds, Millis now) {
  const std::size_t excess = records_over_limits(size, bounds);
  Pruning out;
  out.older_than = now - bounds.max_age;
  out.excess = std::min(excess, answered);
  out.full = excess > answered;
  return out;
}

}  // namespace lotusyard::idempotency
