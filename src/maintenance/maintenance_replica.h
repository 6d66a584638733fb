// This member's replica of the maintenance state: applies the replicated log, sends heartbeats to the leader,
// and, while leading, proposes what the scheduler decides. The heartbeats also renew the lease that other
// parts of the process depend on.
#pragma once

#include <map>
#include <string>

#include "app/app.h"
#include "maintenance/host_access.h"
#include "maintenance/maintenance_scheduler.h"
#include "maintenance/maintenance_state.h"
#include "raft/raft_replica.h"

namespace lotusyard::maintenance {

// Runs on the event loop of `services`. Decisions are made by MaintenanceState (rules) and
// MaintenanceScheduler (order); this class does the I/O and the timing.
class MaintenanceReplica final : public raft::ReplicatedStateMachine {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  // `lease` must outlive the replica.
  MaintenanceReplica(const InvokerServices& services, const raft::Config& config, raft::Lease& lease,
                     LogSink log);
  ~MaintenanceReplica() override;
  // Connects the state machine to its log and starts the timers. To be called once, before the event loop
  // runs; `replica` must outlive this object.
  void attach(raft::RaftReplica& replica);

  // Whether the member may accept calls: it has held a lease, and its store has not failed.
  bool ready() const { return !config_.serves || (lease_.was_ever_held() && !failed_); }
  bool may_send(const std::string& host);
  // To be called before calls are written to hosts: updates which hosts may be used if the lease has expired.
  void before_writes();
  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome);
  // Handles the admin requests under /-/works; nothing for all other paths.
  std::optional<admin::Response> handle_request(const admin::Request& request);

  const MaintenanceState& state() const { return state_; }
  bool detects_failure(const std::string& host) const { return host_access_.detects_failure(host); }
  bool is_leased() const { return !failed_ && lease_.is_held(now()); }
  bool has_failed() const { return failed_; }

  // The progress of the sessions this member represents, each up to an index of the log.
  struct SessionAggregate {
    std::uint64_t applied_index = 0;   // applied by all sessions that hold a lease
    std::uint64_t followed_index = 0;  // applied by all sessions that may use hosts, with or without a lease
    std::uint64_t quiesced_index = 0;  // no call in flight at any session conflicts with entries up to here
  };
  using AggregateSource = std::function<SessionAggregate()>;
  using MergeObservations = std::function<HostObservations(HostObservations own)>;
  // Makes heartbeats cover the represented sessions too. Both functions are called at every heartbeat.
  void set_aggregate_source(AggregateSource source, MergeObservations merge) {
    aggregate_source_ = std::move(source);
    merge_observations_ = std::move(merge);
  }

  // Increases whenever the state may have changed in more than heartbeats.
  std::uint64_t version() const { return version_; }
  // `handler` is called whenever an entry has been applied, or the lease has been gained or lost.
  void set_change_handler(std::function<void()> handler) { change_handler_ = std::move(handler); }
  // Whether this member leads and has applied everything committed before its term. Proposes the read
  // barrier that establishes this where needed.
  bool is_ready_leader();

  const char* name() const override { return "works"; }
  void apply(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override;
  bool restore(const std::string& snapshot) override;
  void handle_message(const std::string& message) override;
  // The member stops for good: it revokes its lease and sends no further heartbeats.
  void on_store_failure(const std::string& reason) override;

 private:
  InvokerServices services_;
  const raft::Config config_;
  raft::Lease& lease_;
  LogSink log_;
  raft::RaftReplica* replica_ = nullptr;
  MaintenanceState state_;
  MaintenanceScheduler scheduler_;
  HostAccess host_access_;
  AggregateSource aggregate_source_;
  MergeObservations merge_observations_;
  std::uint64_t version_ = 0;
  std::map<std::string, Heartbeat> pending_heartbeats_;  // at the leader: received and not yet proposed
  std::function<void()> change_handler_;
  net::EventLoop::TimerId heartbeat_timer_{}, leader_timer_{}, lease_timer_{}, incarnation_timer_{};
  bool failed_ = false;
  bool has_joined_ = false;
  bool proposal_in_flight_ = false;
  Millis proposed_at_{0};
  std::uint64_t ready_term_ = 0;    // the term whose read barrier has been applied
  std::uint64_t barrier_term_ = 0;  // the term whose read barrier has been proposed
  std::string last_sent_observations_, proposed_waiting_reasons_;
  int heartbeats_without_observations_ = 0;

  Millis now() const { return services_.loop.now(); }
  const std::string& member_name() const { return config_.member; }
  void update_host_access();
  void send_heartbeat();
  void run_leader();
  void propose(const LogEntry& entry);
  std::set<std::string> drained_hosts(const SessionAggregate* sessions) const;
  void send_to_leader(const nlohmann::json& message);
  void handle_heartbeat(Heartbeat&& heartbeat);
  void renew_lease(const Heartbeat& heartbeat);
  void rejoin_after_removal();
  void overtake_earlier_incarnation();
  void begin_new_incarnation();
};

}  // namespace lotusyard::maintenance
