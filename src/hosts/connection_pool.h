// Connection pool to all hosts: sends attempts, load requests and probes, and reports their results.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/dispatcher.h"
#include "core/listed_host.h"
#include "hosts/connection_selector.h"
#include "hosts/connection_services.h"
#include "hosts/deferred_ends.h"
#include "hosts/host_connection_listener.h"
#include "hosts/limits.h"
#include "hosts/pooled_host.h"
#include "hosts/reachable_hosts.h"
#include "hosts/readiness_monitor.h"
#include "hosts/waiting_sends.h"

namespace lotusyard::hosts {

// Results are reported to the dispatcher from the event loop, never from within a call to the pool. A request
// that cannot be sent because this machine cannot make a connection is queued until it can; one that cannot
// be sent for another reason ends as a failed connect.
class HostConnectionPool final : public core::HostTransport, private HostConnectionListener {
 public:
  // All references have to outlive the pool.
  HostConnectionPool(net::EventLoop& loop, net::BufferPool& buffers, metrics::Counters& counters,
                     const Limits& limits);
  ~HostConnectionPool() override;

  // Sets the dispatcher that receives the results, and installs the pool's host filter in it. Must be called
  // before anything is sent.
  void attach(core::Dispatcher& dispatcher);
  // The filter of hosts by connection and readiness; hosts have to pass `next` as well, unless it is null.
  policy::HostFilter* host_filter(policy::HostFilter* next);

  // Applies a complete list of hosts, or a change of it. Retires connections to hosts that are no longer
  // ready.
  void update_endpoints(const core::HostListUpdate& list);
  // Withdraws all requests to the host that the kernel does not have in full yet.
  void abort_unsent(const std::string& host);
  // True if no call of this process runs at the host: none is in flight, and none that was cancelled or lost
  // may still be running.
  bool has_no_calls(const std::string& host) const;

  // Decides whether a new request may be sent to a host: a call, a load of the function, or, if the call is
  // null and the function 0, any other request.
  using SendFilter =
      std::function<bool(const std::string& host, const core::Call* call, std::uint64_t function)>;
  // An empty filter allows everything.
  void set_send_filter(SendFilter may_send) { send_filter_ = std::move(may_send); }
  // Applies to open connections as well.
  void set_limits(const Limits& limits);
  // The refs of attempts that have ended, over all connections.
  std::size_t ended_refs() const { return services_.ended_refs->refs; }

  // Receives the confirmations of the endpoint list, and tracks the readiness of the hosts.
  ReadinessMonitor& readiness_monitor() { return readiness_monitor_; }

  // See core::HostTransport.
  void send_attempt(const core::Attempt& attempt, const std::string& host, const core::Call& call,
                    Millis attempt_timeout) override;
  bool cancel_attempt(const core::Attempt& attempt) override;
  void probe(const std::string& host) override;
  void load_copies(const std::string& host, std::uint64_t function, int copies) override;
  void unload(const std::string& host, std::uint64_t function) override;

 private:
  enum class RetryResult { finished, keep_waiting };

  // The endpoint list: connection_pool_endpoints.cpp.
  void update_endpoint(const core::ListedHost& endpoint);
  void retire_others_at_address(const core::ListedHost& endpoint);
  void remove_unused_hosts();
  void retire(PooledHost& host);

  // Returns null if the request may not be sent to the host now.
  PooledHost* find_sendable_host(const std::string& host, const core::Call* call, std::uint64_t function);
  void send_attempt_on(HostConnection& connection, const core::Attempt& attempt, const core::Call& call,
                       Millis attempt_timeout);

  // Waiting for a connection: connection_pool_waiting.cpp.
  void enqueue_waiting(WaitingSend&& send);
  void arm_retry_timer();
  void retry_waiting();
  RetryResult retry(const WaitingSend& send);
  PooledHost* find_sendable_host(const WaitingSend& send);
  bool may_move_to_other_host(const WaitingSend& send, Millis now) const;
  void send_on(HostConnection& connection, const WaitingSend& send);
  void abort_waiting(const WaitingSend& send);
  void end_unreachable(const WaitingSend& send);
  void withdraw_waiting(const std::string& host);

  // HostConnectionListener: connection_pool_listener.cpp, connection_pool_readiness.cpp.
  bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) const override;
  ReadinessResult readiness(const HostConnection& connection) const override;
  bool keeps_when_idle(const HostConnection& connection) const override;
  void on_call_answered(const HostConnection& connection, Millis sent_at, core::Outcome outcome) override;
  void on_readiness_checked(const HostConnection& connection, Millis sent_at, core::Outcome outcome) override;
  void on_attempt_withheld(const core::Attempt& attempt, WithheldReason reason) override;
  void on_load_withheld(const std::string& host, std::uint64_t function, WithheldReason reason) override;
  void on_attempt_answered(const core::Attempt& attempt, core::AttemptEnd&& end) override;
  void on_attempt_not_sent(const core::Attempt& attempt) override;
  void on_attempts_lost(const std::string& host, const std::vector<LostAttempt>& lost) override;
  void on_attempt_needs_connection(const core::Attempt& attempt, const std::string& host,
                                   const core::Call& call, Millis deadline) override;
  void on_probe_ended(core::ProbeOutcome&& outcome) override;
  void on_probe_not_sent(const std::string& host) override;
  void on_probe_needs_connection(const std::string& host) override;
  void on_load_ended(core::LoadOutcome&& outcome) override;
  void on_load_not_sent(const std::string& host, std::uint64_t function) override;
  void on_load_needs_connection(const std::string& host, std::uint64_t function, int copies) override;
  void on_buffered_bytes_changed(HostConnection& connection, std::size_t before, std::size_t now) override;
  void on_connection_closed(HostConnection& connection) override;

  ConnectionServices services_;
  std::map<std::string, PooledHost> hosts_;
  std::map<core::Attempt, HostConnection*> attempts_;  // in flight
  ConnectionSelector selector_{services_};
  ReadinessMonitor readiness_monitor_{services_, selector_, hosts_};
  ReachableHosts reachable_hosts_{services_, readiness_monitor_, hosts_};
  DeferredEnds deferred_ends_{services_};
  SendFilter send_filter_;
  WaitingSends waiting_;
  net::EventLoop::TimerId retry_timer_{};
  std::size_t incoming_bytes_ = 0;  // of incomplete answers, over all connections
};

}  // namespace lotusyard::hosts
