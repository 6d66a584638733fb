// Which connection a request to a host is sent on, and whether a new one is made.
#pragma once

#include <cstddef>
#include <string>

#include "hosts/connection_services.h"
#include "hosts/host_connection.h"
#include "hosts/pooled_host.h"

namespace lotusyard::hosts {

struct ConnectionChoice {
  HostConnection* connection = nullptr;
  // There is none for a local reason: this machine could not make one now, but may soon.
  bool should_wait = false;
};

// Prefers the least busy connection, opens one where none has room, and keeps to the limits.
class ConnectionSelector {
 public:
  explicit ConnectionSelector(ConnectionServices& services) : services_(services) {}

  // `ref`: of the attempt, or empty for any other request.
  ConnectionChoice select(PooledHost& host, const std::string& ref);
  // A connection that was opened here has closed.
  void record_closed() { --connection_count_; }

 private:
  ConnectionChoice open(PooledHost& host);
  bool may_open(const PooledHost& host) const;

  ConnectionServices& services_;
  std::size_t connection_count_ = 0;
};

}  // namespace lotusyard::hosts
