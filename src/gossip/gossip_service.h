// Runs the gossip protocol of one member: transport, timers, log lines, counters and the admin view.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "app/app.h"
#include "gossip/swim_protocol.h"
#include "raft/raft_replica.h"

namespace lotusyard::gossip {

// Uses the replica's peer connections as its transport and the replica's incarnation as its own.
class GossipService {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  // Whether this member itself observes the host as failing.
  using FailureDetector = std::function<bool(const std::string& host)>;

  // `replica` must outlive the service. `config.view` must be set. Starts the protocol as soon as the replica
  // is a member of its group.
  GossipService(const InvokerServices& services, const raft::Config& config, raft::RaftReplica& replica,
                FailureDetector detects_failure, LogSink log);
  ~GossipService();

  // This member accepts calls from now on: its status changes from joining to alive.
  void serve();
  // Announces that this member shuts down; it takes no part in the protocol afterwards.
  void leave();
  // Number of present members that accept calls, by this member's knowledge; 0 before the protocol starts.
  std::size_t present_members() const;
  // `on_change` is called after records of members have changed.
  void set_change_handler(std::function<void()> on_change) { on_change_ = std::move(on_change); }
  // Body of the admin endpoint's `/-/view`.
  nlohmann::json status_to_json() const;

 private:
  InvokerServices services_;
  const raft::Config config_;
  raft::RaftReplica& replica_;
  FailureDetector detects_failure_;
  LogSink log_;
  std::optional<SwimProtocol> protocol_;  // none before the replica is a member of its group
  std::function<void()> on_change_;
  net::EventLoop::TimerId period_timer_{};
  net::EventLoop::TimerId observation_timer_{};
  bool serving_ = false;
  std::uint64_t incarnation_ = 0;

  Millis now() const { return services_.loop.now(); }
  void start_protocol();
  void run_period();
  void observe_hosts();
  void handle_message(const std::string& sender, const std::string& body);
  void send_outgoing();
  void log_change(const MemberRecord& record);
  nlohmann::json members_to_json() const;
  nlohmann::json hosts_to_json() const;
};

}  // namespace lotusyard::gossip
