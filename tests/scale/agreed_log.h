// A stand-in for the group's agreed log: entries in one order, each committed at once, and the reference
// state of the records after every change.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "control/change.h"
#include "control/session_table.h"
#include "scale/event_queue.h"

namespace lotusyard::test {

using control::Index;

// A node's heartbeat. Once it is in the log, the node's lease starts at its stamp.
struct NodeReport {
  std::size_t node = 0;
  std::uint64_t incarnation = 0;
  Millis stamp{0};  // by the node's clock
  control::Floors floors;
};

struct LogEntry {
  Index index = 0;
  double agreed_at = 0;  // true time
  control::Change change;
  std::vector<NodeReport> reports;
};

class AgreedLog {
 public:
  static constexpr Index first_index = 1;  // of the initial state

  // `keeps_states` retains the state after each change, for checks; otherwise only the latest one.
  AgreedLog(control::Records initial, bool keeps_states);

  const LogEntry& append(double now, control::Change change, std::vector<NodeReport> reports);
  Index last() const { return first_index + entries_.size(); }
  const LogEntry& entry(Index index) const { return entries_.at(index - first_index - 1); }
  // The last change at or before `index`: a replica at this position is up to date as of `index`.
  Index last_change(Index index) const;
  // Indexes of the changes after `after`, up to and including `until`.
  std::vector<Index> changes_between(Index after, Index until) const;
  // Every record as of `index`; null if that state was not retained.
  std::shared_ptr<const control::Records> state(Index index) const;

 private:
  bool keeps_states_;
  std::vector<LogEntry> entries_;
  std::vector<Index> changes_;  // indexes of the entries with a change, `first_index` before them
  std::map<Index, std::shared_ptr<const control::Records>> states_;
};

}  // namespace lotusyard::test
