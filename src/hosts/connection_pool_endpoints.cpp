// Applies changes of the endpoint list to the connections.
#include <set>

#include "hosts/connection_pool.h"

namespace lotusyard::hosts {

using core::HostState;

void HostConnectionPool::update_endpoints(const core::HostListUpdate& list) {
  std::set<std::string> listed;
  for (const auto& endpoint : list.hosts) {
    listed.insert(endpoint.entry.host);
    update_endpoint(endpoint);
  }
  if (list.complete) {
    for (auto& [id, host] : hosts_) {
      if (listed.count(id) != 0)
        continue;
      host.set_state(HostState::removed);
      retire(host);
    }
  }
  remove_unused_hosts();
}

void HostConnectionPool::update_endpoint(const core::ListedHost& endpoint) {
  PooledHost& host = hosts_[endpoint.entry.host];
  if (host.is_replaced_by(endpoint))
    retire(host);
  host.set_endpoint(endpoint);
  if (host.is_ready()) {
    retire_others_at_address(endpoint);
  } else {
    retire(host);
  }
}

// A new host may reuse the address of one that is gone: a connection to the old host would then reach it.
void HostConnectionPool::retire_others_at_address(const core::ListedHost& endpoint) {
  for (auto& [id, other] : hosts_) {
    if (id != endpoint.entry.host && other.endpoint().address == endpoint.address)
      retire(other);
  }
}

// A host that is gone is removed once its last connection has closed; otherwise each deployment would leave
// some records behind.
void HostConnectionPool::remove_unused_hosts() {
  const Millis now = services_.loop.now();
  for (auto host = hosts_.begin(); host != hosts_.end();)
    host = host->second.may_be_removed(now) ? hosts_.erase(host) : std::next(host);
}

void HostConnectionPool::retire(PooledHost& host) {
  withdraw_waiting(host.endpoint().entry.host);
  host.retire_connections(UnsentRequests::abort);
}

}  // namespace lotusyard::hosts
