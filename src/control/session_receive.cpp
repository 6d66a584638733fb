// What a session does with what its node sends.
#include <algorithm>

#include "control/session.h"
#include "core/fault_injection.h"
#include "metrics/control_counters.h"

namespace lotusyard::control {
namespace {

constexpr int kMostDoublingsWhenTold = 1;  // of the wait, after a refusal that says when to try again

}  // namespace

void Session::received(Message&& message, Millis now) {
  if (state_ != State::opening && state_ != State::open)
    return;  // of a connection that was given up
  std::visit([&](const auto& one) { take(one, now); }, message);
}

void Session::take(const Welcome& welcome, Millis now) {
  if (state_ != State::opening)
    return malformed(now);
  state_ = State::open;
  state_since_ = now;
  sequence_ = 0;
  counters_.add(metrics::kControlSessionOpened);
  nodes_.learn(welcome.nodes);
  renew(now);
}

void Session::take(const Refusal& refusal, Millis now) {
  counters_.add(metrics::kControlSessionRefusedBy, name_of(refusal.reason));
  nodes_.learn(refusal.nodes);
  if (refusal.retry_after.count() > 0) {
    // The node said when to come again, and others may admit at once: no growing waits beside that.
    failures_ = std::min(failures_, kMostDoublingsWhenTold);
    nodes_.hold_back(node_.address, now + refusal.retry_after * chance(1, 2));
  }
  leave(now, metrics::kControlSessionRefused);
}

void Session::take(const Grant& grant, Millis now) {
  const bool sent = grant.sequence > 0 && grant.sequence <= sequence_;
  if (state_ != State::open || !sent)
    return malformed(now);
  const auto found = std::find_if(outstanding_.begin(), outstanding_.end(),
                                  [&](const Renewal& one) { return one.sequence == grant.sequence; });
  if (found == outstanding_.end())
    return counters_.add(metrics::kControlSessionGrantsUnknown);
  const Renewal renewal = *found;
  outstanding_.erase(outstanding_.begin(), found + 1);  // earlier ones are not answered any more
  granted(renewal, grant, now);
}

void Session::granted(const Renewal& renewal, const Grant& grant, Millis now) {
  if (grant.duration.count() > 0) {
    counters_.add(metrics::kControlSessionGrants);
    const Millis from = fault_injected("grant-from-receipt") ? now : renewal.sent;
    lease_until_ = std::max(lease_until_, from + grant.duration);
    share_ = grant.share;
    refused_since_.reset();
    failures_ = 0;
    nodes_.forget_failures();
    return;
  }
  counters_.add(metrics::kControlSessionGrantsOfNothing);
  if (!refused_since_)
    refused_since_ = renewal.sent;
  if (now - *refused_since_ > config_.terms.lease)
    leave(now, metrics::kControlSessionLeaseless);
}

void Session::take(const SnapshotChunk& chunk, Millis now) {
  if (state_ != State::open)
    return malformed(now);
  const Replica::Outcome outcome = replica_.take(chunk);
  // While a snapshot comes in this replica is what is behind, however long it takes: the node need not be at
  // fault when it grants nothing.
  if (outcome == Replica::Outcome::incomplete || outcome == Replica::Outcome::applied)
    refused_since_.reset();
  on_replicated(outcome, now);
}

void Session::take(const Delta& delta, Millis now) {
  if (state_ != State::open)
    return malformed(now);
  on_replicated(replica_.take(delta), now);
}

void Session::on_replicated(Replica::Outcome outcome, Millis now) {
  if (state_ != State::open)
    return;  // closed by what was called when the replica moved
  switch (outcome) {
    case Replica::Outcome::applied:
      resuming_ = false;
      break;
    case Replica::Outcome::incomplete:
      break;
    case Replica::Outcome::duplicate:
      counters_.add(metrics::kControlSessionDuplicates);
      break;
    case Replica::Outcome::gap:
      on_gap(now);
      break;
    case Replica::Outcome::malformed:
      malformed(now);
      break;
  }
}

void Session::on_gap(Millis now) {
  counters_.add(metrics::kControlSessionGaps);
  if (resuming_)
    return leave(now, metrics::kControlSessionGapAgain);
  resuming_ = true;
  transport_.send(encode(Resume{replica_.position()}));
}

}  // namespace lotusyard::control
