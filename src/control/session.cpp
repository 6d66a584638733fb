#include "control/session.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "control/message_codec.h"
#include "metrics/control_counters.h"

namespace lotusyard::control {
namespace {

constexpr std::size_t kForwardOverhead = 8;  // the sizes of the two texts in a frame's body
const Millis kNever(std::numeric_limits<double>::infinity());

bool fits_in_frame(const std::string& state_machine, const std::string& payload) {
  const std::size_t body_size = state_machine.size() + payload.size() + kForwardOverhead;
  return state_machine.size() <= kMaxNameBytes && body_size <= kMaxFrameBytesToNode;
}

}  // namespace

Session::Session(Config config, Transport& transport, Replica& replica, metrics::Counters& counters,
                 std::uint64_t seed, Millis now)
    : config_(std::move(config)),
      transport_(transport),
      replica_(replica),
      counters_(counters),
      random_(seed),
      nodes_(config_.zone, config_.region, config_.nodes),
      backoff_(config_.pacing.max_initial_backoff, config_.pacing.max_backoff, random_),
      lease_(config_.terms),
      state_since_(now),
      next_attempt_(now) {}

void Session::tick(Millis now) {
  switch (state_) {
    case State::waiting:
      if (now >= next_attempt_)
        connect(now);
      break;
    case State::connecting:
    case State::opening:
      if (now >= connect_deadline())
        disconnect(now, metrics::kControlSessionTimedOut);
      break;
    case State::open:
      tick_open(now);
      break;
    case State::closed:
      break;
  }
}

void Session::tick_open(Millis now) {
  if (now >= lease_.silence_deadline()) {
    disconnect(now, metrics::kControlSessionSilent);
  } else if (lease_.is_renewal_due(now)) {
    renew(now);
  }
}

Millis Session::due() const {
  switch (state_) {
    case State::waiting:
      return next_attempt_;
    case State::connecting:
    case State::opening:
      return connect_deadline();
    case State::open:
      return std::min(lease_.next_renewal(), lease_.silence_deadline());
    case State::closed:
      break;
  }
  return kNever;
}

void Session::enter(State state, Millis now) {
  state_ = state;
  state_since_ = now;
}

void Session::connect(Millis now) {
  const NodeAddress* const chosen = nodes_.choose(now, random_);
  if (chosen == nullptr) {
    next_attempt_ = nodes_.next_available();
    return;
  }
  node_ = *chosen;
  enter(State::connecting, now);
  counters_.add(metrics::kControlSessionAttempts);
  transport_.connect(node_);
}

void Session::on_connected(Millis now) {
  if (state_ != State::connecting)
    return;
  enter(State::opening, now);
  Open open;
  open.cluster = config_.cluster;
  open.invoker = config_.invoker;
  open.zone = config_.zone;
  open.incarnation = config_.incarnation;
  open.position = replica_.position();
  open.terms = config_.terms;
  transport_.send(encode(open));
}

void Session::on_disconnected(Millis now) {
  if (!has_connection())
    return;
  counters_.add(metrics::kControlSessionDisconnected);
  reconnect(now);
}

void Session::on_malformed(Millis now) {
  if (has_connection())
    disconnect(now, metrics::kControlSessionMalformed);
}

void Session::disconnect(Millis now, const metrics::Counter& counter) {
  counters_.add(counter);
  reconnect(now);
  transport_.disconnect();
}

void Session::reconnect(Millis now) {
  state_ = State::waiting;
  replica_.abandon_snapshot();
  lease_.on_disconnected();
  is_resuming_ = false;
  nodes_.on_failure(node_.address);
  next_attempt_ = now + backoff_.next_wait();
}

void Session::close(Millis now) {
  if (state_ == State::closed)
    return;
  const bool was_open = state_ == State::open;
  const bool had_connection = has_connection();
  reconnect(now);
  state_ = State::closed;
  lease_.release();
  if (was_open)
    transport_.send(encode(Close{}));
  if (had_connection)
    transport_.disconnect();
}

// The lease counts from this moment, so it is taken before the renewal is sent.
void Session::renew(Millis now) {
  const auto sequence = lease_.start_renewal(now);
  if (!sequence)
    return;
  Renew renewal;
  renewal.sequence = *sequence;
  renewal.applied = replica_.position();
  renewal.quiesced_index = std::min(quiesced_index_, renewal.applied);
  counters_.add(metrics::kControlSessionRenewals);
  transport_.send(encode(renewal));
}

bool Session::forward(const std::string& state_machine, const std::string& payload) {
  if (state_ != State::open || !fits_in_frame(state_machine, payload))
    return false;
  transport_.send(encode(Forward{state_machine, payload}));
  return true;
}

}  // namespace lotusyard::control
