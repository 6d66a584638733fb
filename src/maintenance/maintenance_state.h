// The replicated state of maintenance. Members that have applied the same entries have the same state, except
// for times, which are by each member's own clock. Does no I/O; the time is passed in.
#pragma once

#include <set>
#include <string>

#include "maintenance/disruption_budget.h"
#include "maintenance/log_entry.h"
#include "maintenance/maintenance_records.h"

namespace lotusyard::maintenance {

class MaintenanceState {
 public:
  static constexpr std::size_t kMaxClosedJobs = 64;  // jobs kept for queries after they are done or cancelled

  // Applies one command of the log. `index` must increase from call to call. A command that would violate the
  // bounds or the order of the stages is refused and has no effect. A repeated proposal has no effect either;
  // its first outcome is returned.
  ProposalOutcome apply(std::uint64_t index, const LogEntry& entry, Millis now);

  const std::vector<MaintenanceJob>& jobs() const { return records_.jobs; }  // in the order of addition
  const std::map<std::string, HostProgress>& hosts() const { return records_.hosts; }
  const std::map<std::string, MemberProgress>& members() const { return records_.members.members(); }
  // Null if there is no such job. Valid until the next change.
  const MaintenanceJob* find_job(const std::string& id) const;
  // Null if the proposal is unknown or its outcome is no longer kept. Valid until the next change.
  const ProposalOutcome* find_outcome(const std::string& proposal) const;
  std::uint64_t index() const { return records_.index; }  // of the last applied entry
  // Why jobs do not make progress, as last reported by the leader: a JSON object by job id, or empty.
  const std::string& waiting_reason() const { return records_.waiting_reason; }
  Millis last_return_at() const { return records_.last_return_at; }
  // The highest incarnation of the member that ever joined; 0 if there was none.
  std::uint64_t last_incarnation(const std::string& member) const {
    return records_.members.last_incarnation(member);
  }

  // Hosts that a member must not use; without a lease these include the selected ones.
  std::set<std::string> hosts_to_avoid(bool leased) const;
  // The bounds in effect; a view that is valid until the next change of this state.
  DisruptionBudget budget() const {
    return {records_.jobs, records_.hosts, records_.members.min_listed_hosts()};
  }

  nlohmann::json snapshot() const;
  // Returns false, without a change, if the snapshot is malformed.
  bool restore(const nlohmann::json& from, Millis now);

 private:
  MaintenanceRecords records_;

  // What the execution of a command needs besides the command.
  struct Context {
    const std::string& reason;
    Millis now;
  };

  // Each executes one command and returns why it is refused; empty if it took effect.
  std::string execute(const RecordHeartbeats& command, const Context& context);
  std::string execute(const Join& command, const Context& context);
  std::string execute(const Leave& command, const Context& context);
  std::string execute(const AddJob& command, const Context& context);
  std::string execute(const ChangeJobState& command, const Context& context);
  std::string execute(const ChangeBounds& command, const Context& context);
  std::string execute(const SelectHosts& command, const Context& context);
  std::string execute(const StartDrain& command, const Context& context);
  std::string execute(const ReleaseToOperators& command, const Context& context);
  std::string execute(const ReturnToService& command, const Context& context);
  std::string execute(const Complete& command, const Context& context);
  std::string execute(const Overdue& command, const Context& context);
  std::string execute(const ReadBarrier& command, const Context& context);

  std::string drain_refusal(const HostProgress& host) const;
  HostProgress* find_mutable_host(const std::string& id);
  static void enter_stage(HostProgress& host, HostStage stage, const Context& context);
  MaintenanceJob* find_mutable_job(const std::string& id);
  void release_untouched_hosts(const std::string& job_id);
  void close_if_done(const std::string& id);
  bool is_closed(const MaintenanceJob& job) const;
};

}  // namespace lotusyard::maintenance
