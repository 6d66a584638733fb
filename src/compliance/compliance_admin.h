// Admin endpoint of the compliance module: its status, and operators' proposals and their outcomes.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "app/app.h"
#include "compliance/certificate_state.h"
#include "maintenance/maintenance_replica.h"

namespace lotusyard::compliance {

class ComplianceAdmin {
 public:
  // Serving members that may still use a revoked certificate.
  using MembersNotAcknowledged = std::function<std::vector<std::string>(const std::string& certificate)>;
  // Sends an entry to the leader for proposal; false if no leader is known.
  using SendToLeader = std::function<bool(const LogEntry& entry)>;

  // Keeps references to the services, the state and the maintenance replica; all must outlive it.
  ComplianceAdmin(const InvokerServices& services, std::string member, const CertificateState& state,
                  const maintenance::MaintenanceReplica& maintenance,
                  MembersNotAcknowledged members_not_acknowledged, SendToLeader send_to_leader);

  // Response to a request of the admin endpoint; empty if the path is not one of this module.
  std::optional<admin::Response> handle_request(const admin::Request& request) const;

 private:
  InvokerServices services_;
  std::string member_;
  const CertificateState& state_;
  const maintenance::MaintenanceReplica& maintenance_;
  MembersNotAcknowledged members_not_acknowledged_;
  SendToLeader send_to_leader_;

  admin::Response handle_outcome_query(const std::string& proposal_id) const;
  admin::Response handle_proposal(const std::string& text) const;
  std::optional<admin::Response> complete_proposal(LogEntry& entry) const;
  nlohmann::json status_to_json() const;
  nlohmann::json certificate_status_to_json(const Certificate& certificate) const;
};

}  // namespace lotusyard::compliance
