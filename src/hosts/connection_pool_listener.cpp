// Handles the events that connections report to the pool.
#include <utility>

#include "hosts/connection_pool.h"
#include "metrics/host_counters.h"

namespace lotusyard::hosts {

using core::Outcome;

// The host may have been ready when the request was queued and no longer be.
bool HostConnectionPool::may_send(const std::string& id, const core::Call* call,
                                  std::uint64_t function) const {
  const auto found = hosts_.find(id);
  if (found == hosts_.end() || !found->second.is_ready())
    return false;
  return !send_filter_ || send_filter_(id, call, function);
}

void HostConnectionPool::on_attempt_answered(const core::Attempt& attempt, core::AttemptEnd&& end) {
  attempts_.erase(attempt);
  services_.dispatcher->attempt_ended(attempt, std::move(end));
}

void HostConnectionPool::on_attempt_not_sent(const core::Attempt& attempt) {
  attempts_.erase(attempt);
  deferred_ends_.attempt_ended(attempt, Outcome::connect_failed);
}

void HostConnectionPool::on_attempts_lost(const std::string& host, const std::vector<LostAttempt>& lost) {
  if (lost.empty())
    return;
  // All are removed before the first is reported: the dispatcher may cancel others, or send new attempts.
  for (const auto& ended : lost)
    attempts_.erase(ended.attempt);
  hosts_.at(host).record_unfinished_call();
  for (const auto& ended : lost)
    services_.dispatcher->attempt_ended(ended.attempt, {ended.outcome, 0, std::nullopt, {}});
}

void HostConnectionPool::on_probe_ended(core::ProbeOutcome&& outcome) {
  services_.dispatcher->probe_ended(std::move(outcome));
}

void HostConnectionPool::on_probe_not_sent(const std::string& host) {
  deferred_ends_.probe_ended(host, Outcome::connect_failed);
}

void HostConnectionPool::on_load_ended(core::LoadOutcome&& outcome) {
  services_.dispatcher->load_ended(std::move(outcome));
}

void HostConnectionPool::on_load_not_sent(const std::string& host, std::uint64_t function) {
  deferred_ends_.load_ended(host, function, Outcome::connect_failed);
}

// The limit applies to all connections together, because an equal share of the memory would be too small for
// one long answer. When it is exceeded, the connection that buffers most is closed.
void HostConnectionPool::on_buffered_bytes_changed(HostConnection& connection, std::size_t before,
                                                   std::size_t now) {
  incoming_bytes_ = incoming_bytes_ + now - before;
  if (now <= before || incoming_bytes_ <= services_.limits.max_incoming_bytes)
    return;
  HostConnection* largest = &connection;
  std::size_t largest_bytes = now;
  for (const auto& [id, host] : hosts_) {
    for (const auto& other : host.connections()) {
      if (other->is_closing() || other->buffered_bytes() <= largest_bytes)
        continue;
      largest = other.get();
      largest_bytes = other->buffered_bytes();
    }
  }
  services_.counters.add(metrics::kHostsNoMemory);
  largest->close_later();
}

void HostConnectionPool::on_connection_closed(HostConnection& connection) {
  selector_.record_closed();
  services_.counters.add(metrics::kHostsLinksEnded);
  services_.loop.delete_later(hosts_.at(connection.host()).remove(connection));
}

}  // namespace lotusyard::hosts
