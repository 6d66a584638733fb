// One member's replica of the compliance state: applies the replicated log, acknowledges revocations,
// finishes them while leading, and answers operators' requests at the admin endpoint.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "app/app.h"
#include "compliance/compliance_admin.h"
#include "compliance/compliance_filter.h"
#include "maintenance/maintenance_replica.h"
#include "raft/proposal_retry.h"
#include "raft/raft_replica.h"

namespace lotusyard::compliance {

class ComplianceReplica final : public raft::ReplicatedStateMachine {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  // Whether every session that this member represents has quiesced past the log index.
  using SessionsQuiesced = std::function<bool(std::uint64_t index)>;

  // Keeps references to the services and to the maintenance replica, whose heartbeats and lease it depends
  // on; both must outlive it.
  ComplianceReplica(const InvokerServices& services, const raft::Config& config,
                    maintenance::MaintenanceReplica& maintenance, LogSink log);
  ~ComplianceReplica() override { services_.loop.cancel(periodic_timer_); }

  // Starts the periodic work. The Raft replica must outlive this one.
  void attach(raft::RaftReplica& replica);

  // To be called whenever the lease may have been gained or lost.
  void update();

  ComplianceFilter& filter() { return filter_; }
  const CertificateState& state() const { return state_; }

  // Without it, acknowledgements of this member do not cover any sessions.
  void set_sessions_quiesced(SessionsQuiesced sessions_quiesced) {
    sessions_quiesced_ = std::move(sessions_quiesced);
  }

  // Increases whenever the state may have changed.
  std::uint64_t version() const { return version_; }

  // Response to a request of the admin endpoint; empty if the path is not one of this module.
  std::optional<admin::Response> handle_request(const admin::Request& request) {
    return admin_.handle_request(request);
  }

  const char* name() const override { return "compliance"; }
  void apply(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override { return state_.snapshot().dump(); }
  bool restore(const std::string& snapshot) override;
  void handle_message(const std::string& message) override;
  void on_store_failure(const std::string&) override { update(); }

 private:
  InvokerServices services_;
  const raft::Config config_;
  maintenance::MaintenanceReplica& maintenance_;
  LogSink log_;
  raft::RaftReplica* replica_ = nullptr;
  CertificateState state_;
  ComplianceFilter filter_;
  ComplianceAdmin admin_;
  SessionsQuiesced sessions_quiesced_;
  std::uint64_t version_ = 0;
  net::EventLoop::TimerId periodic_timer_{};
  // When this member stopped using a revoked certificate, by certificate.
  std::map<std::string, Millis> unused_since_;
  raft::ProposalRetry proposal_retry_;

  void run_periodic();
  void acknowledge_revocations();
  bool is_unused(const std::string& name, const Certificate& certificate);
  void drop_finished_revocations();

  void run_leader();
  std::vector<std::string> members_not_acknowledged(const std::string& certificate) const;

  void on_revoked(const std::string& certificate);
  bool should_propose(const Command& command) const;
};

}  // namespace lotusyard::compliance
