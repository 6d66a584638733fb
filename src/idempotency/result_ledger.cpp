#include "idempotency/result_ledger.h"

#include <algorithm>

namespace lotusyard::idempotency {

bool proves_not_run(const ResultRecord& record) {
  if (record.stage == ResultStage::cleared)
    return true;
  return record.stage != ResultStage::sent && record.answer.status == core::CallStatus::rejected;
}

Decision decide(const std::optional<ResultRecord>& known, const DeliveryFacts& arrival,
                const StoreTrust& trust) {
  // A store that cannot be read may hold that it ran. Sent anew, the same id may be a tablet's
  // repeat.
  if (!trust.healthy)
    return arrival.redelivered ? Decision::fail_may_have_run : Decision::refuse_unrecorded;
  if (known) {
    if (known->stage == ResultStage::sent)
      return Decision::fail_may_have_run;
    if (known->stage == ResultStage::cleared)
      return Decision::run;
    // A redelivery gets the answer that stands; a message sent anew after a refusal is a further try.
    return proves_not_run(*known) && !arrival.redelivered ? Decision::run : Decision::answer;
  }
  if (!arrival.redelivered)
    return Decision::run;
  // Not in the store may mean not yet, no more, or at another consumer. Only a call younger than
  // everything the store has forgotten, at the only consumer there is, is known not to have gone out.
  // Published in the future, it shows that this clock is behind, and the mark bounded by it may be too.
  const bool covered = arrival.published && *arrival.published - kClockSkew >= trust.complete_from &&
                       *arrival.published - kClockSkew <= trust.now;
  return trust.sole_consumer && covered ? Decision::run : Decision::fail_may_have_run;
}

bool may_follow(const std::optional<ResultStage>& from, ResultStage to) {
  switch (to) {
    case ResultStage::sent:
      return !from || *from == ResultStage::cleared || *from == ResultStage::answered ||
             *from == ResultStage::confirmed;  // the last two: a further try after a refusal
    case ResultStage::cleared:
      return from && *from == ResultStage::sent;
    case ResultStage::answered:
      return true;  // a refusal may come before anything was sent
    case ResultStage::confirmed:
      return from && (*from == ResultStage::answered || *from == ResultStage::confirmed);
  }
  return false;
}

// Whatever goes out from now on is recorded, so that a mark at the present would do. The step is for a clock
// that has been set back since, wrongly.
Millis bounded_mark(Millis mark, Millis now) { return std::min(mark, now + kClockStep); }

Pruning prune(const Size& size, std::size_t answered, const Bounds& bounds, Millis now) {
  Pruning out;
  out.older_than = now - bounds.longest;
  const std::size_t each = size.records == 0 ? 0 : size.bytes / size.records;
  const std::size_t over_count = size.records > bounds.most ? size.records - bounds.most : 0;
  const std::size_t over_bytes =
      size.bytes > bounds.most_bytes && each > 0 ? (size.bytes - bounds.most_bytes) / each + 1 : 0;
  const std::size_t wanted = std::max(over_count, over_bytes);
  out.excess = std::min(wanted, answered);
  out.full = wanted > answered;
  return out;
}

}  // namespace lotusyard::idempotency
