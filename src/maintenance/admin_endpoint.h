// What operators ask about works, and what they may propose. No I/O.
#pragma once

#include <map>
#include <string>

#include "admin/admin_endpoint.h"
#include "core/listed_host.h"
#include "maintenance/maintenance_state.h"

namespace lotusyard::maintenance {

nlohmann::json jobs_to_json(const MaintenanceState& board, const std::string& member);
nlohmann::json outcome_to_json(const MaintenanceState::ProposalOutcome& outcome);

struct OperatorProposal {
  admin::Response rejection;      // holds where there is no entry
  std::optional<LogEntry> entry;  // for whoever leads
};
// An operator's wording, checked against the hosts that this member sees.
OperatorProposal parse_proposal(const std::string& wording,
                                const std::map<std::string, core::ListedHost>& listed);

}  // namespace lotusyard::maintenance
