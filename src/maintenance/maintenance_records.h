// The data of the replicated maintenance state: jobs, and the progress of their hosts and of the members.
// MaintenanceState owns it and is the only writer.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "maintenance/log_entry.h"
#include "maintenance/member_table.h"
#include "maintenance/outcome_table.h"

namespace lotusyard::maintenance {

// The stages a host of a job passes through, in this order.
enum class HostStage {
  waiting,         // in use, not selected yet
  selected,        // may be drained next; avoided by members without a lease
  draining,        // receives no further calls
  out_of_service,  // used by no member: operators may work on it
  slow_start,      // in use again, has not served a call yet
  returned         // has served a call since its return
};
const char* name_of(HostStage stage);  // as used in the admin endpoint's JSON

// Whether a host in this stage is unavailable, or in use again without having served a call yet.
bool counts_against_bounds(HostStage stage);

// The progress of a host whose job is not closed.
struct HostProgress {
  HostKey key;
  std::string job;
  std::string reason;  // of the last change
  HostStage stage = HostStage::waiting;
  std::uint64_t selected_at_index = 0;  // log index at which it was last selected, drained or returned
  bool overdue = false;
  bool released_to_operators = false;  // it may have lost its instances, so it returns with slow start
  Millis since{0};                     // start of the stage, on this member's clock
};

struct MaintenanceRecords {
  std::vector<MaintenanceJob> jobs;           // in the order in which they were added
  std::map<std::string, HostProgress> hosts;  // of jobs that are not closed
  MemberTable members;
  OutcomeTable outcomes;
  std::uint64_t index = 0;     // of the last applied entry
  std::string waiting_reason;  // why jobs do not make progress, as last reported by the leader
  Millis last_return_at{0};    // when a host last completed its return, on this member's clock
};

}  // namespace lotusyard::maintenance
