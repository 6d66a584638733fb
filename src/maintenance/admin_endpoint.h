// JSON representations of maintenance jobs for the admin endpoint, and validation of operators' proposals.
// Does no I/O.
#pragma once

#include <map>
#include <string>

#include "admin/admin_endpoint.h"
#include "core/listed_host.h"
#include "maintenance/maintenance_state.h"

namespace lotusyard::maintenance {

// All jobs with the stage of each of their hosts, as seen by `member`.
nlohmann::json jobs_to_json(const MaintenanceState& state, const std::string& member);
nlohmann::json outcome_to_json(const ProposalOutcome& outcome);

// The result of parsing a proposal: either an entry for the leader, or the response that rejects it.
struct OperatorProposal {
  admin::Response rejection;      // meaningful only if `entry` is absent
  std::optional<LogEntry> entry;  // to be sent to the leader
};

// Parses and validates an operator's proposal (JSON). Host selectors in it are resolved against `listed`, the
// hosts this member knows from discovery. Never throws for a malformed proposal: it is rejected.
OperatorProposal parse_proposal(const std::string& text,
                                const std::map<std::string, core::ListedHost>& listed);

}  // namespace lotusyard::maintenance
