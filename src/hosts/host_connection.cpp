// Queues requests to a host, and cancels them.
#include "hosts/host_connection.h"

#include <algorithm>
#include <utility>

#include "metrics/host_counters.h"

namespace lotusyard::hosts {
namespace {

// If the host was silent for this long when an attempt is cancelled, the connection may be partitioned.
constexpr Millis kPartitionSilence{400};
// A retired connection is closed if its host has not read all bytes after this time.
constexpr Millis kUnreadTimeout{1000};

}  // namespace

HostConnection::HostConnection(ConnectionServices& services, std::string host, net::Socket socket)
    : BufferedConnection(services.loop, services.buffers, std::move(socket), true),
      services_(services),
      host_(std::move(host)),
      parser_(services.limits.max_answer_bytes) {
  connect_or_idle_timer_ =
      loop().schedule_at(loop().now() + services_.limits.connect_timeout, [this] { on_connect_timeout(); });
}

HostConnection::~HostConnection() { cancel_timers(); }

bool HostConnection::has_capacity(const std::string& ref) const {
  if (is_closing() || retired_ || attempts_.size() >= services_.limits.max_attempts_per_connection)
    return false;
  return attempts_.count(ref) == 0 && !ended_refs_.contains(ref);
}

void HostConnection::send_attempt(const core::Attempt& attempt, const core::Call& call,
                                  Millis attempt_timeout) {
  const Millis now = loop().now();
  attempts_.emplace(call.ref, InFlightAttempt{attempt, now, call.function, {}});
  PendingWrite pending;
  pending.kind = PendingWrite::Kind::attempt;
  pending.id = call.ref;
  pending.attempt = {call.ref, call.class_name, call.function_name, call.key, call.body};
  pending.deadline = now + attempt_timeout;
  pending.function = call.function;
  enqueue_write(std::move(pending));
  arm_idle_timer();
  arm_silence_timer();
}

bool HostConnection::cancel_attempt(const core::Attempt& attempt) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&](const auto& entry) { return entry.second.attempt == attempt; });
  if (found == attempts_.end())
    return false;
  const std::string ref = found->first;
  const InFlightAttempt sent = found->second;
  attempts_.erase(found);
  if (sent.progress.is_written())
    return cancel_written_attempt(ref, sent);
  withdraw_attempt(ref);
  return false;
}

void HostConnection::withdraw_attempt(const std::string& ref) {
  const auto is_withdrawn = [&](const PendingWrite& pending) {
    return pending.kind == PendingWrite::Kind::attempt && pending.id == ref;
  };
  pending_writes_.erase(std::remove_if(pending_writes_.begin(), pending_writes_.end(), is_withdrawn),
                        pending_writes_.end());
  arm_idle_timer();
}

bool HostConnection::cancel_written_attempt(const std::string& ref, const InFlightAttempt& sent) {
  const Millis now = loop().now();
  ended_refs_.add(ref, EndedRefs::State::cancelled, now, services_.limits.late_answer_window);
  // A partitioned host stays silent. The next attempt opens a new connection, which shows whether the host
  // can be reached.
  if (now - std::max(silence_.last_received_at(), sent.sent_at) > kPartitionSilence)
    possibly_partitioned_ = true;
  // Flushed immediately: the next attempt may be sent on another connection in this iteration of the event
  // loop.
  write(encode(CancelRequest{ref}));
  const bool flushed = flush_now();
  // If memory is short, the CancelRequest is sent later. Otherwise the host is not reading, and closing the
  // connection cancels the attempt.
  const bool is_sent_later = short_of_memory() && sent.progress.is_with_kernel(send_queue());
  if (!flushed && !is_sent_later)
    close_later();
  arm_idle_timer();
  // A message that the kernel does not have in full by now is never completed.
  return sent.progress.is_with_kernel(send_queue());
}

void HostConnection::load_copies(std::uint64_t function, int copies) {
  const std::string tag = services_.tags.next_load_tag();
  PendingWrite request;
  request.kind = PendingWrite::Kind::load;
  request.message = encode(LoadRequest{tag, function, copies});
  request.function = function;
  request.copies = copies;
  send_query(tag, Query::Kind::load, std::move(request), copies);
}

void HostConnection::probe() {
  const std::string tag = services_.tags.next_probe_tag();
  PendingWrite request;
  request.message = encode(LoadReportRequest{tag});
  send_query(tag, Query::Kind::probe, std::move(request), 0);
}

void HostConnection::send_readiness_check() {
  const bool is_outstanding = std::any_of(queries_.begin(), queries_.end(), [](const auto& entry) {
    return entry.second.kind == Query::Kind::readiness;
  });
  if (is_outstanding || is_closing())
    return;
  services_.counters.add(metrics::kHostsReadinessChecks);
  const std::string tag = services_.tags.next_readiness_tag();
  PendingWrite request;
  request.message = encode(HealthCheckRequest{tag});
  send_query(tag, Query::Kind::readiness, std::move(request), 0);
}

void HostConnection::unload(std::uint64_t function) {
  PendingWrite request;
  request.message = encode(UnloadRequest{function});
  enqueue_write(std::move(request));
  arm_idle_timer();
}

void HostConnection::send_query(const std::string& tag, Query::Kind kind, PendingWrite&& request,
                                int copies) {
  const Millis now = loop().now();
  Query& query = queries_[tag];
  query.kind = kind;
  query.function = request.function;
  query.copies = copies;
  query.sent_at = now;
  query.timeout_timer = loop().schedule_at(now + timeout_of(kind), [this, tag] { on_query_timeout(tag); });
  request.id = tag;
  enqueue_write(std::move(request));
  arm_idle_timer();
  arm_silence_timer();
}

void HostConnection::enqueue_write(PendingWrite&& pending) {
  pending_writes_.push_back(std::move(pending));
  if (!is_connecting())
    loop().flush_later(*this);
}

void HostConnection::retire(UnsentRequests unsent) {
  retired_ = true;
  if (unsent == UnsentRequests::abort) {
    if (is_connecting())
      return close_later();
    abort_pending_writes();
    close_if_unread();
  }
  arm_idle_timer();
}

// Bytes that the host does not read in time could reach it long after its drain began.
void HostConnection::close_if_unread() {
  if (send_queue().empty())
    return;
  loop().cancel(unread_timer_);
  unread_timer_ = loop().schedule_at(loop().now() + kUnreadTimeout, [this] {
    if (!send_queue().empty())
      close_later();
  });
}

}  // namespace lotusyard::hosts
