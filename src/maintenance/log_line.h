// The log line of an applied entry, which parse_timeline reads. Does no I/O.
#pragma once

#include <string>

#include "maintenance/log_entry.h"
#include "maintenance/outcome_table.h"

namespace lotusyard::maintenance {

// The entry's kind, the fields that are set as key=value, and its reason or why it was refused.
std::string describe_applied_entry(const LogEntry& entry, const ProposalOutcome& outcome);

}  // namespace lotusyard::maintenance
