// What a group has agreed upon about works on machines: the same at every member that has applied the same
// entries. No I/O; the one thing here that is a member's own is when it saw what (`since`, `seen`).
#pragma once

#include <deque>

#include "maintenance/log_entry.h"

namespace lotusyard::maintenance {

enum class HostStage { waiting, selected, draining, out_of_service, slow_start, returned };
const char* name_of(HostStage stage);
bool counts_against_bounds(
    HostStage stage);  // out of use for a work, or back and not proven yet: it counts for the bounds

class MaintenanceState {
 public:
  struct HostProgress {
    HostKey key;
    std::string job, reason;
    HostStage stage = HostStage::waiting;
    std::uint64_t selected_at_index = 0;  // the index at which it was named, later that at which it was taken
    bool overdue = false,
         released_to_operators = false;  // touched: operators may have had it, so it comes back cold
    Millis since{0};
  };
  struct MemberProgress {
    std::uint64_t incarnation = 0;
    bool serves = true;
    std::uint64_t applied_index = 0;
    std::uint64_t followed_index = 0;  // as of its signs of life: `has`, or less where it represents others
    std::set<std::string> drained_hosts;
    HostObservations observations;
    bool has_reported = false;  // whether it has said what it sees
    Millis last_heartbeat_at{0};
  };
  struct ProposalOutcome {
    bool done = false;
    std::string why;  // why not
    std::uint64_t index = 0;
  };
  static constexpr std::size_t max_outcomes = 256, max_closed_jobs = 64;

  // `index` grows from call to call. Whatever the entry says, the bounds and the order of the stages hold.
  ProposalOutcome apply(std::uint64_t index, const LogEntry& entry, Millis now);

  const std::vector<MaintenanceJob>& jobs() const { return jobs_; }  // in the order in which they were added
  const std::map<std::string, HostProgress>& hosts() const { return hosts_; }
  const std::map<std::string, MemberProgress>& members() const { return members_; }
  const MaintenanceJob* find_job(const std::string& id) const;
  const ProposalOutcome* find_outcome(const std::string& proposal) const;
  std::uint64_t index() const { return index_; }
  const std::string& waiting_reason() const {
    return waiting_reason_;
  }  // why works do not go on, as the one that leads said
  Millis last_return_at() const { return last_return_at_; }
  std::uint64_t last_incarnation(const std::string& member) const;

  // Hosts that a member must not use: those that are out, and without its lease those that may be next.
  std::set<std::string> hosts_to_avoid(bool leased) const;
  // Why a further host of this zone and kind would break a bound of any work that has hosts out, or of its
  // own; empty if it breaks none. All works share them. `listed`: how many hosts there are.
  std::string exceeded_bound(const MaintenanceJob& of, const HostKey& host, int listed) const;
  // How many hosts may be named, leaving, out or warming together.
  int max_hosts_in_progress(int listed) const;
  int hosts_in_progress() const;
  int min_listed_hosts() const;  // as the member saw that saw fewest

  nlohmann::json snapshot() const;
  bool restore(const nlohmann::json& from, Millis now);  // false: it is none; nothing has changed

 private:
  std::vector<MaintenanceJob> jobs_;
  std::map<std::string, HostProgress> hosts_;  // of works that are not closed
  std::map<std::string, MemberProgress> members_;
  std::map<std::string, std::uint64_t> incarnations_;  // the last of each member, also of those that left
  std::map<std::string, ProposalOutcome> outcomes_;
  std::deque<std::string> outcome_order_;
  std::uint64_t index_ = 0;
  std::string waiting_reason_;
  Millis last_return_at_{0};

  std::string apply_entry(const LogEntry& entry, Millis now);  // why it is refused; empty: it holds
  std::string add_job(const LogEntry& entry, Millis now);
  std::string change_job_state(const LogEntry& entry);
  std::string advance_host(const LogEntry& entry, Millis now);
  std::string start_drain(HostProgress& host);
  MaintenanceJob* find_mutable_job(const std::string& id);
  void close_if_done(const std::string& id);
  void remember_outcome(const std::string& proposal, const ProposalOutcome& outcome);
};

}  // namespace lotusyard::maintenance
