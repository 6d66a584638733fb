// How a session handles the messages of its node.
#include <random>
#include <variant>

#include "control/message_codec.h"
#include "control/session.h"
#include "metrics/control_counters.h"

namespace lotusyard::control {

void Session::on_message(Message&& message, Millis now) {
  // Messages may still arrive from a connection that this session has ended.
  if (state_ != State::opening && state_ != State::open)
    return;
  std::visit([this, now](const auto& typed) { on(typed, now); }, message);
}

void Session::on(const Welcome& welcome, Millis now) {
  if (state_ != State::opening)
    return on_malformed(now);
  enter(State::open, now);
  lease_.on_opened();
  counters_.add(metrics::kControlSessionOpened);
  nodes_.learn(welcome.nodes);
  renew(now);
}

void Session::on(const Refusal& refusal, Millis now) {
  counters_.add(metrics::kControlSessionRefusedBy, name_of(refusal.reason));
  nodes_.learn(refusal.nodes);
  if (refusal.retry_after.count() > 0) {
    backoff_.on_retry_after();
    // Spread over as long again, so that refused sessions do not return together.
    const double factor = std::uniform_real_distribution<double>(1, 2)(random_);
    nodes_.hold_back(node_.address, now + refusal.retry_after * factor);
  }
  disconnect(now, metrics::kControlSessionRefused);
}

void Session::on(const Grant& grant, Millis now) {
  if (state_ != State::open)
    return on_malformed(now);
  switch (lease_.on_grant(grant, now)) {
    case SessionLease::GrantResult::extended:
      on_granted();
      break;
    case SessionLease::GrantResult::nothing_granted:
      counters_.add(metrics::kControlSessionGrantsOfNothing);
      break;
    case SessionLease::GrantResult::leaseless:
      counters_.add(metrics::kControlSessionGrantsOfNothing);
      disconnect(now, metrics::kControlSessionLeaseless);
      break;
    case SessionLease::GrantResult::not_outstanding:
      counters_.add(metrics::kControlSessionGrantsUnknown);
      break;
    case SessionLease::GrantResult::malformed:
      on_malformed(now);
      break;
  }
}

void Session::on_granted() {
  counters_.add(metrics::kControlSessionGrants);
  backoff_.reset();
  nodes_.clear_failures();
}

void Session::on(const SnapshotChunk& chunk, Millis now) {
  if (state_ != State::open)
    return on_malformed(now);
  const Replica::Outcome outcome = replica_.apply(chunk);
  if (outcome == Replica::Outcome::incomplete || outcome == Replica::Outcome::applied)
    lease_.on_snapshot_progress();
  on_replicated(outcome, now);
}

void Session::on(const Delta& delta, Millis now) {
  if (state_ != State::open)
    return on_malformed(now);
  on_replicated(replica_.apply(delta), now);
}

void Session::on_replicated(Replica::Outcome outcome, Millis now) {
  // The replica's listener may have closed the session.
  if (state_ != State::open)
    return;
  switch (outcome) {
    case Replica::Outcome::applied:
      is_resuming_ = false;
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
      on_malformed(now);
      break;
  }
}

// A second gap before anything was applied means that resuming does not help at this node.
void Session::on_gap(Millis now) {
  counters_.add(metrics::kControlSessionGaps);
  if (is_resuming_)
    return disconnect(now, metrics::kControlSessionGapAgain);
  is_resuming_ = true;
  transport_.send(encode(Resume{replica_.position()}));
}

}  // namespace lotusyard::control
