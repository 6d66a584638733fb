// The pool's record of a host: its endpoint, its connections, and the calls that may still run there.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "core/listed_host.h"
#include "hosts/host_connection.h"
#include "hosts/host_readiness.h"

namespace lotusyard::hosts {

// Owns the host's connections.
class PooledHost {
 public:
  const core::ListedHost& endpoint() const { return endpoint_; }
  // Discards what the host's answers have shown if its process or state has changed.
  void set_endpoint(const core::ListedHost& endpoint);
  void set_state(core::HostState state) { endpoint_.entry.state = state; }
  // True if the entry names another process than the recorded one: the host has moved or restarted.
  bool is_replaced_by(const core::ListedHost& endpoint) const;
  bool is_ready() const { return endpoint_.entry.state == core::HostState::ready; }
  // True if an open connection has capacity for an attempt.
  bool has_open_connection() const;
  bool is_reachable() const { return is_ready() && has_open_connection(); }
  // True once the record is no longer needed.
  bool may_be_removed(Millis now) const;

  // A call was sent, and may run there for at most `attempt_timeout`.
  void record_call(Millis now, Millis attempt_timeout);
  // A call was cancelled or its connection lost: it may run until its timeout has passed.
  void record_unfinished_call() { has_unfinished_calls_ = true; }
  bool may_run_unfinished_calls(Millis now) const { return has_unfinished_calls_ && calls_expire_at_ > now; }

  HostReadiness& readiness() { return readiness_; }
  const HostReadiness& readiness() const { return readiness_; }

  // A connection that is open and accepts requests, or null.
  HostConnection* find_open_connection() const;
  const std::vector<std::shared_ptr<HostConnection>>& connections() const { return connections_; }
  HostConnection& add(std::shared_ptr<HostConnection> connection);
  // Removes the connection and returns its owning pointer.
  std::shared_ptr<HostConnection> remove(const HostConnection& connection);
  void retire_connections(UnsentRequests unsent);

 private:
  core::ListedHost endpoint_;
  std::vector<std::shared_ptr<HostConnection>> connections_;
  HostReadiness readiness_;
  Millis calls_expire_at_{0};
  bool has_unfinished_calls_ = false;
};

}  // namespace lotusyard::hosts
