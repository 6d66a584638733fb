// The parts of one member of a group, joined: they share its log, its links and its lease, and are the
// invoker's companion together.
#pragma once

#include <memory>
#include <optional>

#include "app/app.h"
#include "compliance/compliance_replica.h"
#include "gossip/gossip_service.h"
#include "maintenance/maintenance_replica.h"
#include "node/control_role.h"
#include "quota/quota_replica.h"
#include "raft/raft_replica.h"

namespace lotusyard::node {

class ClusterMember final : public InvokerExtension, private policy::HostFilter {
 public:
  // `control`: this member is a control node, too.
  ClusterMember(const InvokerServices& wiring, const raft::Config& config,
                const std::optional<control::NodeConfig>& control);

  bool ready() const override { return maintenance_.ready(); }
  bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) override;
  policy::HostFilter* host_filter() override { return this; }
  bool allows(const std::string& tenant, std::uint64_t function, const std::string& host) override;
  void on_rejected(const core::Call& call) override { compliance_.filter().on_rejected(call); }
  void drain() override;
  void before_writes() override { maintenance_.before_writes(); }
  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) override;
  std::optional<admin::Response> handle_request(const admin::Request& request) override;

 private:
  InvokerServices services_;
  const raft::Config config_;
  raft::Lease lease_;
  bool constructed_ = false;
  maintenance::MaintenanceReplica maintenance_;
  quota::QuotaReplica quota_;
  compliance::ComplianceReplica compliance_;
  raft::RaftReplica replica_;  // it calls the parts from its construction on
  std::optional<gossip::GossipService> gossip_;
  std::optional<ControlRole> control_role_;

  void update_lease();
  InvokerServices quota_services();

  void log_event(const std::string& part, const std::string& text) const;
  nlohmann::json group_to_json() const;
};

// For lotusyard_cluster: a member where the file has a part `group`, an invoker with a session where it has
// only a part `control`, else nothing.
std::unique_ptr<InvokerExtension> make_extension(const InvokerServices& wiring, const nlohmann::json& file);

}  // namespace lotusyard::node
