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
  // One change, encoded; `after` is the index of the change before it, or of the state that the log began
  // with.
  struct Entry {
    Index after = 0, index = 0;
    std::string change;
  };
  struct Snapshot {
    Index index = 0;
    std::string bytes;
  };

  explicit ChangeLog(Limits limits) : limits_(limits) {}

  // The whole state as of an index, from the group's own snapshot: earlier changes are not known.
  void reset(Index index, Records records);
  // An entry of the agreed log was applied here; indexes grow from call to call. An empty change is no
  // change.
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
  // The present state; shared, and made again only when a change has come since.
  std::shared_ptr<const Snapshot> snapshot();

 private:
  Limits limits_;
  Records records_;
  std::deque<Entry> entries_;
  std::size_t bytes_ = 0;
  Index applied_ = 0, first_ = 0;
  std::shared_ptr<const Snapshot> snapshot_;

  void trim();
};

}  // namespace lotusyard::control
