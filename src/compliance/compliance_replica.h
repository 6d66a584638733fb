// Regimes and certificates at one member: its part of the log, what it says of revocations, what it proposes
// when it leads, and what operators ask. What is decided stands in `book`.
#pragma once

#include "app/app.h"
#include "compliance/compliance_filter.h"
#include "maintenance/maintenance_replica.h"
#include "raft/raft_replica.h"

namespace lotusyard::compliance {

class ComplianceReplica final : public raft::ReplicatedStateMachine {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  // The coordinator outlives it: its signs of life and its lease are what a member's knowledge goes by.
  ComplianceReplica(const InvokerServices& wiring, const raft::Config& config,
                    maintenance::MaintenanceReplica& coordinator, LogSink note);
  ~ComplianceReplica() override { services_.loop.cancel(periodic_timer_); }
  void attach(raft::RaftReplica& member);
  void update();  // the lease may have come or gone

  ComplianceFilter& filter() { return filter_; }
  // Whether all that this member represents have settled past an index of the log; it speaks for itself alone
  // without one.
  using SessionsQuiesced = std::function<bool(std::uint64_t index)>;
  void set_sessions_quiesced(SessionsQuiesced others_settled) {
    sessions_quiesced_ = std::move(others_settled);
  }
  std::uint64_t version() const { return version_; }  // grows whenever the book may have changed
  std::optional<admin::Response> handle_request(const admin::Request& request);
  const CertificateState& state() const { return state_; }

  const char* name() const override { return "compliance"; }
  void apply(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override { return state_.snapshot().dump(); }
  bool restore(const std::string& snapshot) override;
  void handle_message(const std::string& word) override;
  void on_store_failure(const std::string&) override { update(); }

 private:
  InvokerServices services_;
  const raft::Config config_;
  maintenance::MaintenanceReplica& maintenance_;
  LogSink log_;
  raft::RaftReplica* replica_ = nullptr;
  CertificateState state_;
  ComplianceFilter filter_;
  SessionsQuiesced sessions_quiesced_;
  std::uint64_t version_ = 0;
  net::EventLoop::TimerId periodic_timer_{};
  std::map<std::string, Millis> unused_since_;  // by revoked certificate: since when it is not used here
  Millis proposed_{0};

  void run_periodic();
  void run_leader();
  std::string members_not_acknowledged(const Certificate& certificate) const;  // members; empty: for none
  nlohmann::json status_to_json() const;
};

}  // namespace lotusyard::compliance
