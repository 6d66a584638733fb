// The latest changes of the records at a control node, and a snapshot of the complete state for sessions that
// are too far behind. No I/O.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "control/change.h"
#include "control/message.h"

namespace lotusyard::control {

class ChangeLog {
 public:
  struct Limits {
    std::size_t changes = 4096;
    std::size_t bytes = 8U << 20;
  };
  // One change. `after` is the index of the change before it, or of the state that the log started with.
  struct Entry {
    Index after = 0;
    Index index = 0;
    std::string frame;  // the Delta, serialized once for all sessions
  };
  struct Snapshot {
    Index index = 0;
    std::string bytes;
  };

  explicit ChangeLog(Limits limits) : limits_(limits) {}

  // Replaces everything by the complete state as of `index`, which is not below applied().
  void reset(Index index, Records records);
  // Applies an entry of the replicated log. Indexes ascend; one that was applied before is ignored. A change
  // that is too long for a delta restarts the log at its index, so that every session needs a snapshot.
  void append(Index index, const Change& change);

  // Everything up to this index has been applied.
  Index applied() const { return applied_; }
  // A session at a position below this one needs a snapshot.
  Index first() const { return first_; }
  const Records& records() const { return records_; }
  // The first change after `position`, which must not be below first(). Null: there is none yet. It is valid
  // until the log changes.
  const Entry* next_after(Index position) const;
  // The largest index up to applied() with no change between it and `position`: a replica at `position` is up
  // to date with it. A position below first() or beyond applied() covers only itself.
  Index covered(Index position) const;
  // A state from which the log leads to applied(). Sessions share it: an earlier one is returned again as
  // long as the changes after it are smaller than itself, so that few exist at a time.
  std::shared_ptr<const Snapshot> snapshot();

 private:
  Limits limits_;
  Records records_;
  std::deque<Entry> entries_;
  std::size_t bytes_ = 0;  // of all frames
  Index applied_ = 0;
  Index first_ = 0;
  std::shared_ptr<const Snapshot> snapshot_;
  std::size_t changes_since_snapshot_ = 0;
  std::size_t bytes_since_snapshot_ = 0;

  void restart_at(Index index);
  void trim();
  bool is_snapshot_usable() const;
};

}  // namespace lotusyard::control
