// The changes that a control node can still pass on, and its state for those that need it whole. No I/O.
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
  // One change; `after` is the index of the change before it, or of the state that the log began with.
  struct Entry {
    Index after = 0, index = 0;
    std::string frame;  // the `Delta`, encoded once for all who get it
  };
  struct Snapshot {
    Index index = 0;
    std::string bytes;
  };

  explicit ChangeLog(Limits limits) : limits_(limits) {}

  // The whole state as of an index, not below `applied()`, from the group's own snapshot: earlier changes are
  // not known.
  void reset(Index index, Records records);
  // An entry of the agreed log was applied here; indexes grow from call to call, and one that was applied
  // already is ignored. An empty change is no change. A change that is too long for a delta makes the log
  // begin anew at its index, so that every replica takes a snapshot.
  void append(Index index, const Change& change);

  Index applied() const { return applied_; }  // everything up to here was applied
  Index first() const { return first_; }      // a replica that holds less than this needs a snapshot
  const Records& records() const { return records_; }
  // The first change behind `position`, which must not be below `first()`; null: there is none yet. It stays
  // valid until the log changes.
  const Entry* next_after(Index position) const;
  // How far a replica at `position` is up to date: the largest index up to `applied()` without any change
  // between the two. A position that is below `first()` or beyond `applied()` covers only itself.
  Index covered(Index position) const;
  // A state from which the log leads on to `applied()`; shared. An earlier one is given out again for as long
  // as the changes behind it are smaller than itself, so that few are alive at a time.
  std::shared_ptr<const Snapshot> snapshot();

 private:
  Limits limits_;
  Records records_;
  std::deque<Entry> entries_;
  std::size_t bytes_ = 0;
  Index applied_ = 0, first_ = 0;
  std::shared_ptr<const Snapshot> snapshot_;
  std::size_t changes_since_snapshot_ = 0, bytes_since_snapshot_ = 0;

  void begin_at(Index index);
  void trim();
  bool snapshot_serves() const;
};

}  // namespace lotusyard::control
