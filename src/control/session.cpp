#include "control/session.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "metrics/control_counters.h"

namespace lotusyard::control {
namespace {

constexpr std::size_t kMostOutstanding = 4;  // renewals without an answer
constexpr Millis kShortestWait{1};           // whatever the configuration says, so that nothing spins
constexpr int kMostDoublings = 30;
constexpr std::size_t kForwardHead = 8;  // the lengths of the two texts in a frame's body
const Millis kNever(std::numeric_limits<double>::infinity());

}  // namespace

Session::Session(Config config, Transport& transport, Replica& replica, metrics::Counters& counters,
                 std::uint64_t seed, Millis now)
    : config_(std::move(config)),
      transport_(transport),
      replica_(replica),
      counters_(counters),
      random_(seed),
      nodes_(config_.zone, config_.region, config_.nodes),
      next_attempt_(now),
      state_since_(now) {}

void Session::tick(Millis now) {
  switch (state_) {
    case State::waiting:
      if (now >= next_attempt_)
        attempt(now);
      break;
    case State::connecting:
    case State::opening:
      if (now >= state_since_ + config_.pacing.connect_timeout)
        leave(now, metrics::kControlSessionTimedOut);
      break;
    case State::open:
      if (now >= silent_at()) {
        leave(now, metrics::kControlSessionSilent);
      } else if (now >= next_renewal_) {
        renew(now);
      }
      break;
    case State::closed:
      break;
  }
}

Millis Session::due() const {
  switch (state_) {
    case State::waiting:
      return next_attempt_;
    case State::connecting:
    case State::opening:
      return state_since_ + config_.pacing.connect_timeout;
    case State::open:
      return std::min(next_renewal_, silent_at());
    case State::closed:
      break;
  }
  return kNever;
}

void Session::attempt(Millis now) {
  const NodeAddress* const chosen = nodes_.choose(now, random_);
  if (chosen == nullptr) {
    next_attempt_ = nodes_.next_available();
    return;
  }
  node_ = *chosen;
  state_ = State::connecting;
  state_since_ = now;
  counters_.add(metrics::kControlSessionAttempts);
  transport_.connect(node_);
}

void Session::connected(Millis now) {
  if (state_ != State::connecting)
    return;
  state_ = State::opening;
  state_since_ = now;
  Open open;
  open.cluster = config_.cluster;
  open.invoker = config_.invoker;
  open.zone = config_.zone;
  open.incarnation = config_.incarnation;
  open.position = replica_.position();
  open.terms = config_.terms;
  transport_.send(encode(open));
}

void Session::disconnected(Millis now) {
  if (state_ == State::waiting || state_ == State::closed)
    return;
  counters_.add(metrics::kControlSessionDisconnected);
  move_on(now);
}

void Session::malformed(Millis now) {
  if (state_ == State::waiting || state_ == State::closed)
    return;
  leave(now, metrics::kControlSessionMalformed);
}

void Session::leave(Millis now, const metrics::Counter& counter) {
  counters_.add(counter);
  move_on(now);
  transport_.disconnect();
}

// The lease runs on until its own end.
void Session::move_on(Millis now) {
  state_ = State::waiting;
  replica_.abandon_snapshot();
  outstanding_.clear();
  refused_since_.reset();
  resuming_ = false;
  nodes_.failed(node_.address);
  next_attempt_ = now + next_wait();
}

Millis Session::next_wait() {
  const Pacing& pacing = config_.pacing;
  const Millis bound = std::min(pacing.first_wait * std::exp2(failures_), pacing.most_wait);
  failures_ = std::min(failures_ + 1, kMostDoublings);
  return std::max(bound * chance(0, 1), kShortestWait);
}

double Session::chance(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

void Session::close(Millis now) {
  if (state_ == State::closed)
    return;
  const State before = state_;
  move_on(now);
  state_ = State::closed;
  lease_until_ = Millis(0);
  if (before == State::waiting)
    return;
  if (before == State::open)
    transport_.send(encode(Close{}));
  transport_.disconnect();
}

Millis Session::silent_at() const {
  return outstanding_.empty() ? kNever : outstanding_.front().sent + config_.terms.lease / 2;
}

Millis Session::renewal_interval() const {
  return std::max(config_.terms.heartbeat_interval(), kShortestWait);
}

// The lease counts from this moment. It must be taken before the renewal goes out.
void Session::renew(Millis now) {
  next_renewal_ = now + renewal_interval();
  if (outstanding_.size() >= kMostOutstanding)
    return;
  outstanding_.push_back({++sequence_, now});
  Renew renewal;
  renewal.sequence = sequence_;
  renewal.applied = replica_.position();
  renewal.settled = std::min(settled_, renewal.applied);
  counters_.add(metrics::kControlSessionRenewals);
  transport_.send(encode(renewal));
}

bool Session::forward(const std::string& part, const std::string& word) {
  if (state_ != State::open)
    return false;
  if (part.size() > longest_name || part.size() + word.size() + kForwardHead > longest_to_node)
    return false;
  transport_.send(encode(Forward{part, word}));
  return true;
}

}  // namespace lotusyard::control
