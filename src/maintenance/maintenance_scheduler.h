// Which host is next, and when it may be touched: what the member that leads proposes, out of what all have
// agreed upon and of its own clock. No I/O; the time is passed in. What it proposes holds once it is agreed
// upon, and only where the board's own rules allow it.
#pragma once

#include "maintenance/maintenance_state.h"
#include "raft/lease.h"

namespace lotusyard::maintenance {

class MaintenanceScheduler {
 public:
  explicit MaintenanceScheduler(raft::LeaseTerms terms) : terms_(terms) {}

  // The one entry that is due now; nothing: all is as it should be, or waits. To be called again once what it
  // gave is agreed upon or lost.
  std::optional<LogEntry> next_entry(const MaintenanceState& board, Millis now);
  // Why a work does not go on, as of the last `next`.
  const std::map<std::string, std::string>& waiting_reasons() const { return waiting_reasons_; }

 private:
  raft::LeaseTerms terms_;
  std::map<std::string, std::string> waiting_reasons_;
  double usual_failed_share_ = 0;  // share of calls that is lost, as it is usually
  Millis usual_at_{0};

  bool has_quiesced(const MaintenanceState::MemberProgress& m, const std::string& host, std::uint64_t round,
                    Millis now) const;
  bool is_reporting(const MaintenanceState::MemberProgress& m, Millis now) const;
  std::optional<LogEntry> next_release(const MaintenanceState& board, Millis now);
  std::optional<LogEntry> next_return(const MaintenanceState& board, Millis now) const;
  std::optional<LogEntry> next_selection(const MaintenanceState& board) const;
  std::optional<LogEntry> next_drain(const MaintenanceState& board, const MaintenanceJob& work, Millis now);
  std::string obstacle(const MaintenanceState& board, const MaintenanceJob& work, Millis now) const;
  double failed_share(const MaintenanceState& board, Millis now) const;
  std::optional<double> serving_value(const MaintenanceState& board, const std::string& host,
                                      Millis now) const;
};

}  // namespace lotusyard::maintenance
