// Selects the connection on which a request to a host is sent, and opens new ones.
#pragma once

#include <cstddef>
#include <string>

#include "hosts/connection_services.h"
#include "hosts/host_connection.h"
#include "hosts/pooled_host.h"

namespace lotusyard::hosts {

struct ConnectionChoice {
  HostConnection* connection = nullptr;
  // No connection could be made for a local reason; one may be possible soon.
  bool should_wait = false;
};

// Selects the least busy connection, or opens one if none has capacity and the limits allow it.
class ConnectionSelector {
 public:
  explicit ConnectionSelector(ConnectionServices& services) : services_(services) {}

  // `ref`: the attempt's ref, or empty for any other request.
  ConnectionChoice select(PooledHost& host, const std::string& ref);
  // Must be called for each connection of this selector that has closed.
  void record_closed() { --connection_count_; }

 private:
  ConnectionChoice open(PooledHost& host);
  bool may_open(const PooledHost& host) const;

  ConnectionServices& services_;
  std::size_t connection_count_ = 0;
};

}  // namespace lotusyard::hosts
