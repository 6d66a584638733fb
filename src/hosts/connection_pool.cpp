// The pool's interface to the dispatcher and the rest of the program.
#include "hosts/connection_pool.h"

#include <algorithm>
#include <utility>

#include "metrics/call_counters.h"
#include "metrics/host_counters.h"

namespace lotusyard::hosts {

HostConnectionPool::HostConnectionPool(net::EventLoop& loop, net::BufferPool& buffers,
                                       metrics::Counters& counters, const Limits& limits)
    : services_{loop, buffers, counters, *this, {}} {
  set_limits(limits);
}

HostConnectionPool::~HostConnectionPool() { services_.loop.cancel(retry_timer_); }

void HostConnectionPool::set_limits(const Limits& limits) {
  services_.limits = limits;
  services_.ended_refs->max_bytes = limits.max_ended_ref_bytes;
}

void HostConnectionPool::attach(core::Dispatcher& dispatcher) {
  services_.dispatcher = &dispatcher;
  dispatcher.set_host_filter(host_filter(nullptr));
}

policy::HostFilter* HostConnectionPool::host_filter(policy::HostFilter* next) {
  reachable_hosts_.chain(next);
  return &reachable_hosts_;
}

void HostConnectionPool::abort_unsent(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end())
    return;
  withdraw_waiting(id);
  const auto connections = found->second.connections();
  for (const auto& connection : connections) {
    connection->abort_pending_writes();
    if (!connection->is_connecting() && connection->send_queue().empty())
      continue;
    services_.counters.add(metrics::kHostsCutLinks);
    connection->close_later();
  }
}

bool HostConnectionPool::has_no_calls(const std::string& id) const {
  const bool has_attempt = std::any_of(attempts_.begin(), attempts_.end(),
                                       [&](const auto& entry) { return entry.second->host() == id; });
  if (has_attempt)
    return false;
  const auto host = hosts_.find(id);
  return host == hosts_.end() || !host->second.may_run_unfinished_calls(services_.loop.now());
}

PooledHost* HostConnectionPool::find_sendable_host(const std::string& id, const core::Call* call,
                                                   std::uint64_t function) {
  if (may_send(id, call, function))
    return &hosts_.at(id);
  services_.counters.add(metrics::kGuardHostNotReady);
  return nullptr;
}

void HostConnectionPool::send_attempt(const core::Attempt& attempt, const std::string& id,
                                      const core::Call& call, Millis attempt_timeout) {
  PooledHost* host = find_sendable_host(id, &call, call.function);
  const ConnectionChoice choice = host == nullptr ? ConnectionChoice() : selector_.select(*host, call.ref);
  if (choice.connection != nullptr)
    return send_attempt_on(*choice.connection, attempt, call, attempt_timeout);
  if (!choice.should_wait)
    return on_attempt_not_sent(attempt);
  on_attempt_needs_connection(attempt, id, call, services_.loop.now() + attempt_timeout);
}

void HostConnectionPool::send_attempt_on(HostConnection& connection, const core::Attempt& attempt,
                                         const core::Call& call, Millis attempt_timeout) {
  attempts_[attempt] = &connection;
  hosts_.at(connection.host()).record_call(services_.loop.now(), attempt_timeout);
  services_.probe_budget.record_attempt();
  connection.send_attempt(attempt, call, attempt_timeout);
}

bool HostConnectionPool::cancel_attempt(const core::Attempt& attempt) {
  if (waiting_.remove(attempt))
    return false;
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end())
    return false;
  HostConnection& connection = *found->second;
  attempts_.erase(found);
  hosts_.at(connection.host()).record_unfinished_call();
  return connection.cancel_attempt(attempt);
}

void HostConnectionPool::probe(const std::string& id) {
  PooledHost* host = find_sendable_host(id, nullptr, 0);
  const ConnectionChoice choice = host == nullptr ? ConnectionChoice() : selector_.select(*host, {});
  if (choice.connection != nullptr)
    return choice.connection->probe();
  if (!choice.should_wait)
    return on_probe_not_sent(id);
  on_probe_needs_connection(id);
}

void HostConnectionPool::load_copies(const std::string& id, std::uint64_t function, int copies) {
  // A request for 0 copies loads nothing, so it is not checked as a load.
  PooledHost* host = find_sendable_host(id, nullptr, copies > 0 ? function : 0);
  const ConnectionChoice choice = host == nullptr ? ConnectionChoice() : selector_.select(*host, {});
  if (choice.connection != nullptr)
    return choice.connection->load_copies(function, copies);
  if (!choice.should_wait)
    return on_load_not_sent(id, function);
  on_load_needs_connection(id, function, copies);
}

void HostConnectionPool::unload(const std::string& id, std::uint64_t function) {
  PooledHost* host = find_sendable_host(id, nullptr, 0);
  if (host == nullptr)
    return;
  const ConnectionChoice choice = selector_.select(*host, {});
  if (choice.connection != nullptr)
    choice.connection->unload(function);
}

}  // namespace lotusyard::hosts
