// Checks each request immediately before its bytes go to the kernel, and writes it.
#include <utility>

#include "hosts/host_connection.h"
#include "metrics/host_counters.h"

namespace lotusyard::hosts {
namespace {

// Interval at which requests that may not be written yet are checked again.
constexpr Millis kRecheckInterval{1};
// The shortest attempt timeout: it is sent in whole milliseconds.
constexpr Millis kMinAttemptTimeout{1};
// A connection is closed if the kernel has had only a part of a call for this long, and no room for the rest:
// the timeout that the call states is too long by then.
constexpr Millis kStalledWriteTimeout{100};

}  // namespace

// Attempts, load requests and probes are written only here.
void HostConnection::before_write() {
  // If the host has closed the connection, that is handled first: the pending requests provably never ran,
  // and are sent elsewhere.
  if (pending_writes_.empty() || peer_state() == net::PeerState::disconnected)
    return;
  bool kernel_full = false;
  for (auto& pending : std::exchange(pending_writes_, {})) {
    const WriteDecision decision = kernel_full ? WriteDecision::wait : check_before_write(pending);
    if (decision == WriteDecision::write) {
      write_pending(pending);
      // Queued behind bytes that the kernel has no room for, a request would carry an outdated timeout, and
      // be sent even after its client has cancelled. So at most one call is ever split.
      kernel_full = !flush_now();
      if (kernel_full && pending.kind != PendingWrite::Kind::unchecked)
        limit_stalled_write();
    }
    if (decision == WriteDecision::discard)
      discard_write(pending);
    if (decision == WriteDecision::withhold)
      withhold_write(pending);
    if (decision == WriteDecision::wait)
      pending_writes_.push_back(std::move(pending));
  }
  // If the kernel has no room, the check is repeated once it has.
  if (!pending_writes_.empty() && !kernel_full)
    schedule_recheck();
}

// WriteDecision::wait: until the next check, or until it is withdrawn because its call has ended.
HostConnection::WriteDecision HostConnection::check_before_write(const PendingWrite& pending) {
  switch (pending.kind) {
    case PendingWrite::Kind::attempt:
      return check_attempt_before_write(pending);
    case PendingWrite::Kind::load:
      if (!services_.listener.may_send(host_, nullptr, pending.function))
        return WriteDecision::discard;
      return pending.copies > 0 ? check_readiness_before_write() : WriteDecision::write;
    case PendingWrite::Kind::unchecked:
      break;
  }
  return WriteDecision::write;
}

HostConnection::WriteDecision HostConnection::check_attempt_before_write(const PendingWrite& pending) {
  const InFlightAttempt in_flight = attempts_.at(pending.id);
  const core::Call* call = services_.dispatcher->find_call(in_flight.attempt.call);
  if (!services_.listener.may_send(host_, call, pending.function))
    return WriteDecision::discard;
  if (pending.deadline - loop().now() < kMinAttemptTimeout)
    return WriteDecision::wait;
  const auto check = services_.dispatcher->check_before_write(in_flight.attempt, in_flight.sent_at);
  return check == core::Dispatcher::WriteCheck::allowed ? check_readiness_before_write()
                                                        : WriteDecision::wait;
}

// The clock is read here rather than when the host was chosen: the process may have been stopped in between,
// and the endpoint list may have expired.
HostConnection::WriteDecision HostConnection::check_readiness_before_write() {
  switch (services_.listener.readiness(*this).readiness) {
    case Readiness::confirmed:
      return WriteDecision::write;
    case Readiness::unconfirmed:
      send_readiness_check();
      return WriteDecision::wait;
    case Readiness::withheld:
      break;
  }
  return WriteDecision::withhold;
}

void HostConnection::schedule_recheck() {
  loop().cancel(recheck_timer_);
  recheck_timer_ = loop().schedule_at(loop().now() + kRecheckInterval, [this] {
    read_client_input();
    loop().flush_later(*this);
  });
}

// A client's cancellation may be queued behind more bytes than one iteration of the event loop reads.
void HostConnection::read_client_input() {
  std::vector<core::Attempt> waiting;
  for (const auto& pending : pending_writes_) {
    if (pending.kind == PendingWrite::Kind::attempt)
      waiting.push_back(attempts_.at(pending.id).attempt);
  }
  for (const auto& attempt : waiting)
    services_.dispatcher->read_client_input(attempt);  // may withdraw some of them
}

void HostConnection::limit_stalled_write() {
  loop().cancel(stalled_write_timer_);
  const std::uint64_t end_offset = send_queue().appended();
  stalled_write_timer_ = loop().schedule_at(loop().now() + kStalledWriteTimeout, [this, end_offset] {
    if (is_closing() || send_queue().written() >= end_offset)
      return;
    services_.counters.add(metrics::kHostsStuckCalls);
    close_later();
  });
}

void HostConnection::abort_pending_writes() {
  for (const auto& pending : std::exchange(pending_writes_, {}))
    discard_write(pending);
}

void HostConnection::discard_write(const PendingWrite& pending) {
  services_.counters.add(metrics::kHostsWithdrawn);
  if (pending.kind == PendingWrite::Kind::attempt) {
    services_.listener.on_attempt_not_sent(remove_attempt(pending.id));
  } else {
    discard_query(pending.id);
  }
  arm_idle_timer();
}

void HostConnection::withhold_write(const PendingWrite& pending) {
  const WithheldReason reason =
      services_.listener.readiness(*this).reason.value_or(WithheldReason::list_too_old);
  services_.counters.add(metrics::kHostsWithheld, name_of(reason));
  if (pending.kind == PendingWrite::Kind::attempt) {
    services_.listener.on_attempt_withheld(remove_attempt(pending.id), reason);
  } else if (const auto query = remove_query(pending.id)) {
    services_.listener.on_load_withheld(host_, query->function, reason);
  }
  arm_idle_timer();
}

core::Attempt HostConnection::remove_attempt(const std::string& ref) {
  const auto found = attempts_.find(ref);
  const core::Attempt attempt = found->second.attempt;
  attempts_.erase(found);
  return attempt;
}

std::optional<Query> HostConnection::remove_query(const std::string& tag) {
  const auto found = queries_.find(tag);
  if (found == queries_.end())
    return std::nullopt;
  const Query query = found->second;
  loop().cancel(query.timeout_timer);
  queries_.erase(found);
  return query;
}

void HostConnection::discard_query(const std::string& tag) {
  const auto query = remove_query(tag);
  if (!query)
    return;
  switch (query->kind) {
    case Query::Kind::load:
      return services_.listener.on_load_not_sent(host_, query->function);
    case Query::Kind::probe:
      return services_.listener.on_probe_not_sent(host_);
    case Query::Kind::liveness:
      return silence_.discard_probe();
    case Query::Kind::readiness:
      return;
  }
}

void HostConnection::write_pending(const PendingWrite& pending) {
  if (pending.kind == PendingWrite::Kind::attempt) {
    write(encode(pending.attempt, pending.deadline - loop().now()));
    attempts_.at(pending.id).progress.set_written(send_queue().appended());
    return;
  }
  write(pending.message);
  const auto found = queries_.find(pending.id);
  if (found != queries_.end())
    found->second.progress.set_written(send_queue().appended());
}

}  // namespace lotusyard::hosts
