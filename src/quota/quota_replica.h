// One member's replica of the slow-start quota: applies the replicated log,
// proposes epochs while leading, and passes this member's share to the policy.
#pragma once

#include <functional>
#include <string>

#include "app/app.h"
#include "maintenance/maintenance_replica.h"
#include "metrics/cluster_counters.h"
#include "quota/quota_epochs.h"
#include "raft/proposal_retry.h"
#include "raft/raft_replica.h"

namespace lotusyard::quota {

class QuotaReplica final : public raft::ReplicatedStateMachine {
 public:
  using LogSink = std::function<void(const std::string& text)>;

  // Keeps references to the services and to the maintenance replica, whose
  // heartbeats and lease it depends on; both must outlive it.
  QuotaReplica(const InvokerServices& services, const raft::Config& config,
               maintenance::MaintenanceReplica& maintenance, LogSink log);
  ~QuotaReplica() override { services_.loop.cancel(leader_timer_); }

  // Starts the periodic work. The Raft replica must outlive this one.
  void attach(raft::RaftReplica& replica);

  // To be called whenever the lease or the number of members seen by gossip may
  // have changed.
  void update(std::size_t members_seen);

  // This member's share (0 to 1); negative before the first update.
  double share() const { return share_; }
  const QuotaEpochs& epochs() const { return epochs_; }

  const char* name() const override { return "shares"; }
  void apply(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override { return epochs_.snapshot().dump(); }
  bool restore(const std::string& snapshot) override;
  // Members send no messages about quotas.
  void handle_message(const std::string&) override { services_.counters.add(metrics::kSharesMalformed); }
  void on_store_failure(const std::string&) override { update(members_seen_); }

 private:
  InvokerServices services_;
  const raft::Config config_;
  maintenance::MaintenanceReplica& maintenance_;
  LogSink log_;
  raft::RaftReplica* replica_ = nullptr;
  QuotaEpochs epochs_;
  net::EventLoop::TimerId leader_timer_{};
  // When this member applied the start of the current epoch, by its own clock.
  Millis epoch_began_at_{0};
  raft::ProposalRetry proposal_retry_;
  std::size_t members_seen_ = 0;
  double share_ = -1;

  void run_leader();
  void propose_next_entry(Millis now);
};

}  // namespace lotusyard::quota
