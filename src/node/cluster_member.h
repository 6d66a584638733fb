// One member of a group: composes its replicated state machines, gossip and control node, which share the
// member's log, peer connections and lease.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "app/app.h"
#include "compliance/compliance_replica.h"
#include "gossip/gossip_service.h"
#include "maintenance/maintenance_replica.h"
#include "node/control_role.h"
#include "quota/quota_replica.h"
#include "raft/raft_replica.h"

namespace lotusyard::node {

// Extends an invoker by what its group has decided: which hosts it may call, for which tenants, at which
// share.
class ClusterMember final : public InvokerExtension, private policy::HostFilter {
 public:
  // `control`: set if this member is a control node, too. The services must outlive the member. Throws
  // config::ConfigError if the control node cannot listen.
  ClusterMember(const InvokerServices& services, const raft::Config& config,
                const std::optional<control::NodeConfig>& control);

  bool ready() const override { return maintenance_.ready(); }
  bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) override;
  policy::HostFilter* host_filter() override { return this; }
  // Called by the policy for each host that it considers. It does not consider hosts that the endpoint list,
  // operators or maintenance have excluded.
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
  bool constructed_ = false;  // false while `replica_` is not to be read
  maintenance::MaintenanceReplica maintenance_;
  quota::QuotaReplica quota_;
  compliance::ComplianceReplica compliance_;
  raft::RaftReplica replica_;  // calls the state machines from its construction on
  std::optional<gossip::GossipService> gossip_;
  std::optional<ControlRole> control_role_;

  void start_control_role(const control::NodeConfig& control);
  void start_gossip();
  void update_lease();
  InvokerServices quota_services();
  void set_share(double share);
  std::function<void(const std::string& text)> event_sink(const std::string& component) const;
  void log_event(const std::string& component, const std::string& text) const;
  admin::Response view_response() const;
  nlohmann::json members_to_json() const;
  nlohmann::json servers_to_json() const;
  nlohmann::json group_to_json() const;
};

// The extension that a configuration file requires: a ClusterMember if it has a section `group`, a
// SessionInvoker if it has only a section `control`, otherwise null. Throws config::ConfigError.
std::unique_ptr<InvokerExtension> make_extension(const InvokerServices& services, const nlohmann::json& file);

}  // namespace lotusyard::node
