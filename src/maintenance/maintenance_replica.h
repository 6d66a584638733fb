// Works on machines at one member: its part of the agreed log, what it tells the others, what it leads when
// it leads, and what the invoker's parts are told. Its signs of life carry the lease that other parts go by,
// too. What is decided stands in `board`, `order` and `leaving`.
#pragma once

#include <map>
#include <string>

#include "app/app.h"
#include "maintenance/host_access.h"
#include "maintenance/maintenance_scheduler.h"
#include "maintenance/maintenance_state.h"
#include "raft/raft_replica.h"

namespace lotusyard::maintenance {

class MaintenanceReplica final : public raft::ReplicatedStateMachine {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  // `lease` outlives it.
  MaintenanceReplica(const InvokerServices& wiring, const raft::Config& config, raft::Lease& lease,
                     LogSink note);
  ~MaintenanceReplica() override;
  void attach(raft::RaftReplica& member);  // once, before the loop's next turn

  bool ready() const { return !config_.serves || (lease_.was_ever_held() && !failed_); }
  bool may_send(const std::string& host);
  void before_writes();
  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome);
  std::optional<admin::Response> handle_request(const admin::Request& request);
  const MaintenanceState& state() const { return state_; }
  bool sees_down(const std::string& host) const { return host_access_.sees_down(host); }
  bool is_leased() const { return !failed_ && lease_.is_held(now()); }
  bool has_failed() const { return failed_; }
  // What this member says for others that it represents, beside what it says for itself, each up to an index
  // of the log: what all that hold a lease have applied, what all have applied that go on with a lease or
  // without, and what nothing that is under way at any of them goes against.
  struct SessionAggregate {
    std::uint64_t applied_index = 0, followed_index = 0, quiesced_index = 0;
  };
  using AggregateSource = std::function<SessionAggregate()>;
  using MergeObservations = std::function<HostObservations(HostObservations own)>;
  void set_aggregate_source(AggregateSource represent, MergeObservations merge_views) {
    aggregate_source_ = std::move(represent);
    merge_observations_ = std::move(merge_views);
  }
  // Grows whenever the board may have changed in more than signs of life.
  std::uint64_t version() const { return version_; }
  // Told whenever an entry has been applied, or the lease has come or gone.
  void set_change_handler(std::function<void()> changed) { change_handler_ = std::move(changed); }
  // The one member that leads, once all that was agreed before it has been applied here.
  bool is_ready_leader();

  const char* name() const override { return "works"; }
  void apply(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override;
  bool restore(const std::string& snapshot) override;
  void handle_message(const std::string& word) override;
  void on_store_failure(const std::string& why) override;

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
  std::map<std::string, Heartbeat> pending_heartbeats_;  // at the one that leads: what is not in the log yet
  std::function<void()> change_handler_;
  net::EventLoop::TimerId heartbeat_timer_{}, leader_timer_{}, lease_timer_{}, lives_{};
  bool failed_ = false, in_flight_ = false, has_joined_ = false;
  std::uint64_t led_term_ = 0, readying_term_ = 0;
  std::string last_sent_observations_, proposed_waiting_reason_;
  int heartbeats_without_observations_ = 0;
  Millis flown_at_{0};

  Millis now() const { return services_.loop.now(); }
  const std::string& member_name() const { return config_.member; }
  void update_host_access();
  void send_heartbeat();
  void run_leader();
  void propose(const LogEntry& entry);
  std::set<std::string> drained_hosts(const SessionAggregate* others) const;
  void send_to_leader(const nlohmann::json& word);
  void handle_heartbeat(Heartbeat&& beat);
  void begin_new_incarnation();
  void pass_earlier_lives();
  void take_new_life();
  void log_applied_entry(const LogEntry& entry, const MaintenanceState::ProposalOutcome& outcome);
};

}  // namespace lotusyard::maintenance
