// An invoker's copy of the records: a snapshot, then numbered changes, each applied once and in order. No
// I/O.
#pragma once

#include <functional>
#include <string>

#include "control/change.h"
#include "control/message.h"

namespace lotusyard::control {

class Replica {
 public:
  enum class Outcome {
    applied,     // the replica has moved on
    incomplete,  // a snapshot's chunk was taken, more are to come
    duplicate,   // it was there already, and changes nothing
    gap,         // something before it is missing: it was not applied
    malformed    // it cannot be read, or contradicts itself: it was not applied
  };
  // Called after the replica has moved on; `change` is null after a snapshot.
  using Moved = std::function<void(const Change* change)>;

  void when_moved(Moved moved) { moved_ = std::move(moved); }
  // Chunks come strictly in order; one at offset 0 begins a snapshot anew. A snapshot that is not newer than
  // the replica is a duplicate. After a malformed chunk the next one must begin anew.
  Outcome take(const SnapshotChunk& chunk);
  // Accepted if after <= position < index. Before the first whole snapshot every delta is a gap.
  Outcome take(const Delta& delta);
  // The connection has ended: a snapshot that was not complete begins anew on the next one.
  void abandon_snapshot();

  Index position() const { return position_; }
  bool complete() const { return position_ > 0; }  // it has held a whole state at least once
  const Records& records() const { return records_; }

 private:
  Records records_;
  Index position_ = 0;
  Moved moved_;
  std::string pieces_;  // of a snapshot under way; empty: there is none
  Index piecing_ = 0;
  std::uint64_t total_ = 0;

  bool fits(const SnapshotChunk& chunk) const;
  Outcome complete_snapshot();
};

}  // namespace lotusyard::control
