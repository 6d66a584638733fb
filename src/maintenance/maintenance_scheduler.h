// Decides, at the leader, which host is drained next and when it may be worked on, from the replicated state
// and the leader's clock. Does no I/O; the time is passed in.
//
// A decision only takes effect once the group has agreed on it, and MaintenanceState enforces the bounds and
// the order of the stages itself.
#pragma once

#include "maintenance/failure_baseline.h"
#include "maintenance/maintenance_state.h"
#include "raft/lease.h"

namespace lotusyard::maintenance {

class MaintenanceScheduler {
 public:
  explicit MaintenanceScheduler(raft::LeaseTerms terms) : terms_(terms) {}

  // The one entry that is due now; nothing if there is nothing to do or everything waits. Call it again only
  // once the entry has been applied or lost.
  std::optional<LogEntry> next_entry(const MaintenanceState& state, Millis now);
  // Why jobs do not make progress, by job id, as of the last `next_entry`.
  const std::map<std::string, std::string>& waiting_reasons() const { return waiting_reasons_; }

 private:
  // The selected hosts of a job that could be drained now, by the value that they serve.
  struct DrainCandidates {
    const HostProgress* best = nullptr;  // the one that serves least; null if there is none
    double best_value = 0;               // value per second
    std::optional<double> next_value;    // of the one after it
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
  std::string obstacle(const MaintenanceState& state, const MaintenanceJob& job, Millis now) const;
};

}  // namespace lotusyard::maintenance
