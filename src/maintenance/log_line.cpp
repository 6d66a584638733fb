#include "maintenance/log_line.h"

namespace lotusyard::maintenance {

std::string describe_applied_entry(const LogEntry& entry, const ProposalOutcome& outcome) {
  return std::string(name_of(entry.kind)) + (outcome.done ? "" : " refused") +
         (entry.job.empty() ? "" : " work=" + entry.job) + (entry.host.empty() ? "" : " host=" + entry.host) +
         (entry.added_job ? " work=" + entry.added_job->id : "") +
         (entry.member.empty() ? "" : " of=" + entry.member) +
         (entry.kind == LogEntry::Kind::change_job_state ? std::string(" state=") + name_of(entry.state)
                                                         : "") +
         " reason=\"" + (outcome.done ? entry.reason : outcome.why) + '"';
}

}  // namespace lotusyard::maintenance
