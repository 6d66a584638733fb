// Decides at the leader, from the replicated state and the leader's clock, which host is drained next and
// when it may be released to operators. Does no I/O; the time is passed in.
//
// A decision takes effect only once it is committed, and MaintenanceState enforces the bounds and
// the order of the stages itself.
#pragma once

#include "maintenance/failure_baseline.h"
#include "maintenance/maintenance_state.h"
#include "raft/lease.h"

namespace lotusyard::maintenance {

class MaintenanceScheduler {
 public:
  explicit MaintenanceScheduler(raft::LeaseTerms terms) : terms_(terms) {}

  // The entry to propose now; nothing if there is nothing to do or all jobs wait. To be called again only
  // after the entry has been applied or lost.
  std::optional<LogEntry> next_entry(const MaintenanceState& state, Millis now);
  // Why jobs do not make progress, by job id, as of the last `next_entry`.
  const std::map<std::string, std::string>& waiting_reasons() const { return waiting_reasons_; }

 private:
  // The selected hosts of a job that could be drained now, compared by the value that they serve.
  struct DrainCandidates {
    const HostProgress* best = nullptr;  // the one that serves the least value; null if there is none
    double best_value = 0;               // value per second
    std::optional<double> next_value;    // of the one that serves the second least
    std::string first_refusal;           // why the first of the others cannot be drained
  };

  raft::LeaseTerms terms_;
  std::map<std::string, std::string> waiting_reasons_;
  FailureBaseline baseline_;

  bool has_quiesced(const MemberProgress& member, const std::string& host, std::uint64_t drained_at_index,
                    Millis now) const;
  std::optional<LogEntry> next_release(const MaintenanceState& state, Millis now);
  std::optional<LogEntry> next_return(const MaintenanceState& state, Millis now) const;
  std::optional<LogEntry> next_selection(const MaintenanceState& state) const;
  std::optional<LogEntry> next_drain(const MaintenanceState& state, const MaintenanceJob& job, Millis now);
  DrainCandidates find_candidates(const MaintenanceState& state, const MaintenanceJob& job, Millis now) const;
  // Why no host of the job may be drained now, whichever it is; empty if one may.
  std::string obstacle(const MaintenanceState& state, const MaintenanceJob& job, Millis now) const;
};

}  // namespace lotusyard::maintenance
