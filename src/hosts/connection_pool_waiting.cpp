// Queues requests while this machine cannot make connections, and retries them.
#include <algorithm>
#include <utility>

#include "hosts/connection_pool.h"
#include "metrics/host_counters.h"

namespace lotusyard::hosts {
namespace {

using core::Outcome;

// An attempt waits this long before it may move to another host with an open connection.
constexpr Millis kMinWaitBeforeMove{10};
// A waiting send ends this long before its call's deadline, so that the call can still be retried or
// rejected.
constexpr Millis kDeadlineMargin{3};

}  // namespace

void HostConnectionPool::on_attempt_needs_connection(const core::Attempt& attempt, const std::string& host,
                                                     const core::Call& call, Millis deadline) {
  attempts_.erase(attempt);
  const Millis now = services_.loop.now();
  const int max_attempts = services_.dispatcher->settings().retries.max_attempts;
  const int attempts_left = std::max(1, max_attempts - attempt.number);
  WaitingSend send;
  send.host = host;
  send.attempt = attempt;
  send.call = call;
  send.since = now;
  send.deadline = deadline - kDeadlineMargin;
  // It waits for this host for a part of the call's time; then the policy may choose another host.
  send.may_move_at = now + (deadline - now) / attempts_left;
  enqueue_waiting(std::move(send));
}

void HostConnectionPool::on_probe_needs_connection(const std::string& host) {
  WaitingSend send;
  send.kind = WaitingSend::Kind::probe;
  send.host = host;
  send.since = services_.loop.now();
  send.deadline = send.since + services_.limits.order_timeout;
  enqueue_waiting(std::move(send));
}

void HostConnectionPool::on_load_needs_connection(const std::string& host, std::uint64_t function,
                                                  int copies) {
  WaitingSend send;
  send.kind = WaitingSend::Kind::load_request;
  send.host = host;
  send.since = services_.loop.now();
  send.deadline = send.since + services_.limits.order_timeout;
  send.function = function;
  send.copies = copies;
  enqueue_waiting(std::move(send));
}

void HostConnectionPool::enqueue_waiting(WaitingSend&& send) {
  services_.counters.add(metrics::kHostsWaitsForConnection);
  waiting_.add(std::move(send));
  arm_retry_timer();
}

void HostConnectionPool::arm_retry_timer() {
  if (waiting_.empty())
    return;
  services_.loop.cancel(retry_timer_);
  const Millis next = std::max(services_.connect_backoff.next_attempt_at(), services_.loop.now());
  retry_timer_ = services_.loop.schedule_at(next, [this] { retry_waiting(); });
}

void HostConnectionPool::retry_waiting() {
  for (auto& send : waiting_.take_all()) {
    if (retry(send) == RetryResult::keep_waiting)
      waiting_.add(std::move(send));
  }
  arm_retry_timer();
}

HostConnectionPool::RetryResult HostConnectionPool::retry(const WaitingSend& send) {
  const Millis now = services_.loop.now();
  const bool is_attempt = send.kind == WaitingSend::Kind::attempt;
  PooledHost* host = find_sendable_host(send);
  if (host == nullptr || now >= send.deadline) {
    abort_waiting(send);
    return RetryResult::finished;
  }
  const ConnectionChoice choice = selector_.select(*host, is_attempt ? send.call.ref : std::string());
  if (choice.connection != nullptr) {
    send_on(*choice.connection, send);
    return RetryResult::finished;
  }
  if (!choice.should_wait) {
    end_unreachable(send);
    return RetryResult::finished;
  }
  if (is_attempt && may_move_to_other_host(send, now)) {
    abort_waiting(send);
    return RetryResult::finished;
  }
  return RetryResult::keep_waiting;
}

PooledHost* HostConnectionPool::find_sendable_host(const WaitingSend& send) {
  switch (send.kind) {
    case WaitingSend::Kind::attempt:
      return find_sendable_host(send.host, &send.call, send.call.function);
    case WaitingSend::Kind::probe:
      break;
    case WaitingSend::Kind::load_request:
      return find_sendable_host(send.host, nullptr, send.copies > 0 ? send.function : 0);
  }
  return find_sendable_host(send.host, nullptr, 0);
}

bool HostConnectionPool::may_move_to_other_host(const WaitingSend& send, Millis now) const {
  if (send.attempt.number + 1 >= services_.dispatcher->settings().retries.max_attempts)
    return false;
  if (now >= send.may_move_at)
    return true;
  if (now < send.since + kMinWaitBeforeMove)
    return false;
  return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& entry) {
    return entry.first != send.host && entry.second.is_reachable();
  });
}

void HostConnectionPool::send_on(HostConnection& connection, const WaitingSend& send) {
  switch (send.kind) {
    case WaitingSend::Kind::attempt:
      return send_attempt_on(connection, send.attempt, send.call,
                             send.deadline + kDeadlineMargin - services_.loop.now());
    case WaitingSend::Kind::probe:
      return connection.probe();
    case WaitingSend::Kind::load_request:
      return connection.load_copies(send.function, send.copies);
  }
}

// Nothing of it was sent, so the outcome must not count against the host.
void HostConnectionPool::abort_waiting(const WaitingSend& send) {
  services_.counters.add(metrics::kHostsWaitsEnded);
  switch (send.kind) {
    case WaitingSend::Kind::attempt:
      return deferred_ends_.attempt_ended(send.attempt, Outcome::never_ran);
    case WaitingSend::Kind::probe:
      return deferred_ends_.probe_ended(send.host, Outcome::timeout);
    case WaitingSend::Kind::load_request:
      return deferred_ends_.load_ended(send.host, send.function, Outcome::timeout);
  }
}

void HostConnectionPool::end_unreachable(const WaitingSend& send) {
  switch (send.kind) {
    case WaitingSend::Kind::attempt:
      return on_attempt_not_sent(send.attempt);
    case WaitingSend::Kind::probe:
      return on_probe_not_sent(send.host);
    case WaitingSend::Kind::load_request:
      return on_load_not_sent(send.host, send.function);
  }
}

void HostConnectionPool::withdraw_waiting(const std::string& host) {
  for (const auto& send : waiting_.take_for_host(host))
    abort_waiting(send);
}

}  // namespace lotusyard::hosts
