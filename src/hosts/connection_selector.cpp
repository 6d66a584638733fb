#include "hosts/connection_selector.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "hosts/host_connection_listener.h"
#include "metrics/host_counters.h"

namespace lotusyard::hosts {
namespace {

HostConnection* find_least_busy(const PooledHost& host, const std::string& ref) {
  HostConnection* best = nullptr;
  for (const auto& connection : host.connections()) {
    if (!connection->has_capacity(ref) || connection->is_possibly_partitioned())
      continue;
    if (best == nullptr || connection->in_flight() < best->in_flight())
      best = connection.get();
  }
  return best;
}

HostConnection* find_possibly_partitioned(const PooledHost& host, const std::string& ref) {
  HostConnection* found = nullptr;
  for (const auto& connection : host.connections()) {
    if (connection->has_capacity(ref) && connection->is_possibly_partitioned())
      found = connection.get();
  }
  return found;
}

}  // namespace

ConnectionChoice ConnectionSelector::select(PooledHost& host, const std::string& ref) {
  if (HostConnection* best = find_least_busy(host, ref))
    return {best, false};
  if (!may_open(host)) {
    services_.counters.add(metrics::kHostsNoLink);
    return {nullptr, false};
  }
  HostConnection* possibly_partitioned = find_possibly_partitioned(host, ref);
  const ConnectionChoice opened = open(host);
  // A connection that may be partitioned is better than none.
  if (opened.should_wait && possibly_partitioned != nullptr)
    return {possibly_partitioned, false};
  return opened;
}

bool ConnectionSelector::may_open(const PooledHost& host) const {
  const auto& connections = host.connections();
  const auto usable = std::count_if(connections.begin(), connections.end(), [](const auto& connection) {
    return connection->is_open() || connection->is_connecting();
  });
  return static_cast<std::size_t>(usable) < services_.limits.max_connections_per_host &&
         connection_count_ < services_.limits.max_connections;
}

ConnectionChoice ConnectionSelector::open(PooledHost& host) {
  if (!services_.connect_backoff.may_connect(services_.loop.now()))
    return {nullptr, true};
  net::ConnectResult result = net::connect_to(host.endpoint().address);
  net::count_connect_error(services_.loop, result);
  if (result.error && result.error->kind == net::ConnectErrorKind::local_resource) {
    services_.connect_backoff.record_local_failure(services_.loop.now());
    return {nullptr, true};
  }
  if (!result) {
    services_.counters.add(metrics::kHostsConnectFailed);
    return {nullptr, false};
  }
  services_.counters.add(metrics::kHostsLinksOpened);
  ++connection_count_;
  HostConnection& opened = host.add(
      std::make_shared<HostConnection>(services_, host.endpoint().entry.host, std::move(result.socket)));
  return {&opened, false};
}

}  // namespace lotusyard::hosts
