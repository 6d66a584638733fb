// The agreed parts of one member: its part of the log, what it proposes when it leads, and what the module is
// told.
#pragma once

#include "app/app.h"
#include "maintenance/maintenance_replica.h"
#include "quota/quota_epochs.h"
#include "raft/raft_replica.h"

namespace lotusyard::quota {

class QuotaReplica final : public raft::ReplicatedStateMachine {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  // The coordinator outlives it: its signs of life and its lease are what parts go by.
  QuotaReplica(const InvokerServices& wiring, const raft::Config& config,
               maintenance::MaintenanceReplica& coordinator, LogSink note);
  ~QuotaReplica() override { services_.loop.cancel(leader_timer_); }
  void attach(raft::RaftReplica& member);
  void update(
      std::size_t seen);  // whatever a part hangs on may have changed; `seen`: members that the view holds
  double share() const { return share_; }
  const QuotaEpochs& epochs() const { return epochs_; }

  const char* name() const override { return "shares"; }
  void apply(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override { return epochs_.snapshot().dump(); }
  bool restore(const std::string& snapshot) override;
  void handle_message(const std::string&) override {
    services_.counters.add("shares.malformed");
  }  // nobody tells anything
  void on_store_failure(const std::string&) override { update(members_seen_); }

 private:
  InvokerServices services_;
  const raft::Config config_;
  maintenance::MaintenanceReplica& maintenance_;
  LogSink log_;
  raft::RaftReplica* replica_ = nullptr;
  QuotaEpochs epochs_;
  net::EventLoop::TimerId leader_timer_{};
  Millis epoch_began_at_{0}, proposed_{0};
  std::size_t members_seen_ = 0;
  double share_ = -1;

  void run_leader();
};

}  // namespace lotusyard::quota
