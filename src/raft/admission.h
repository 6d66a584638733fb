// Admission of members without a store: such a member sends requests to the configured members, and the
// leader adds it to the group under a new id.
#pragma once

#include <cstdint>
#include <string>

#include "metrics/counters.h"
#include "raft/config.h"
#include "raft/peer_transport.h"
#include "raft/raft_core.h"

namespace lotusyard::raft {

// The side of the new member. All references must outlive it.
class AdmissionClient {
 public:
  AdmissionClient(net::EventLoop& loop, PeerTransport& transport, const Config& config)
      : loop_(loop), transport_(transport), config_(config) {}
  ~AdmissionClient() { stop(); }
  AdmissionClient(const AdmissionClient&) = delete;
  AdmissionClient& operator=(const AdmissionClient&) = delete;

  // Sends requests to the configured members in round-robin order until stop() is called; only the leader
  // responds.
  void start() { request(); }
  void stop() { loop_.cancel(retry_timer_); }

 private:
  net::EventLoop& loop_;
  PeerTransport& transport_;
  const Config& config_;
  net::EventLoop::TimerId retry_timer_{};
  std::size_t requests_ = 0;  // so far

  void request();
};

// The side of the leader. All references must outlive it.
class AdmissionServer {
 public:
  AdmissionServer(PeerTransport& transport, metrics::Counters& counters, const Config& config,
                  PeerTransport::LogSink log)
      : transport_(transport), counters_(counters), config_(config), log_(std::move(log)) {}

  // Handles the request of the member `name`, which others reach at `address`. Does nothing if this replica,
  // whose id is `own_id`, does not lead, or while the configuration is changing: the member repeats its
  // request. It gets a server id with the first request and its role with a later one. `core` must outlive
  // the changes of the configuration that it makes, as it calls back before it is destroyed.
  void admit(RaftCore& core, std::uint64_t own_id, const std::string& name, const std::string& address);

 private:
  PeerTransport& transport_;
  metrics::Counters& counters_;
  const Config& config_;
  PeerTransport::LogSink log_;
  bool change_active_ = false;  // only one change of the configuration may be in progress

  void admit_known(RaftCore& core, std::uint64_t own_id, const std::string& name,
                   const RaftCore::Server& server);
  void assign_role(RaftCore& core, const RaftCore::Server& server, int role);
  int role_of(const std::string& name) const;
};

}  // namespace lotusyard::raft
