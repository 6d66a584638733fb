#include "hosts/pooled_host.h"

#include <algorithm>
#include <utility>

namespace lotusyard::hosts {

bool PooledHost::is_replaced_by(const core::ListedHost& endpoint) const {
  const bool is_known = !endpoint_.entry.host.empty();
  const bool moved = endpoint.address != endpoint_.address;
  const bool restarted = endpoint.entry.started > endpoint_.entry.started;
  return is_known && (moved || restarted);
}

void PooledHost::set_endpoint(const core::ListedHost& endpoint) {
  const bool is_other_process = is_replaced_by(endpoint);
  if (is_other_process || endpoint.entry.state != endpoint_.entry.state) {
    const Millis accepted_at = readiness_.accepted_at;
    readiness_ = HostReadiness();
    if (!is_other_process)
      readiness_.accepted_at = accepted_at;
  }
  // A host that an operator has enabled counts as ready, as if the list confirmed it.
  if (endpoint.entry.enabled_by_operator)
    readiness_.record_accepted(endpoint.entry.started);
  endpoint_ = endpoint;
}

HostConnection* PooledHost::find_open_connection() const {
  for (const auto& connection : connections_) {
    if (connection->is_open() && connection->has_capacity({}))
      return connection.get();
  }
  return nullptr;
}

bool PooledHost::has_open_connection() const { return find_open_connection() != nullptr; }

bool PooledHost::may_be_removed(Millis now) const {
  const bool is_gone = endpoint_.entry.state == core::HostState::removed;
  return is_gone && connections_.empty() && !may_run_unfinished_calls(now);
}

void PooledHost::record_call(Millis now, Millis attempt_timeout) {
  if (calls_expire_at_ <= now)
    has_unfinished_calls_ = false;
  calls_expire_at_ = std::max(calls_expire_at_, now + attempt_timeout);
}

HostConnection& PooledHost::add(std::shared_ptr<HostConnection> connection) {
  connections_.push_back(std::move(connection));
  return *connections_.back();
}

std::shared_ptr<HostConnection> PooledHost::remove(const HostConnection& connection) {
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [&](const auto& owned) { return owned.get() == &connection; });
  std::shared_ptr<HostConnection> removed = std::move(*found);
  connections_.erase(found);
  return removed;
}

void PooledHost::retire_connections(UnsentRequests unsent) {
  // A copy, because connections may close and be removed during the loop.
  const auto connections = connections_;
  for (const auto& connection : connections)
    connection->retire(unsent);
}

}  // namespace lotusyard::hosts
