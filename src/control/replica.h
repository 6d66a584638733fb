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
  Outcome take(const SnapshotChunk& chunk);
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
  std::string pieces_;  // of a snapshot under way
  Index piecing_ = 0;
  std::uint64_t total_ = 0;
};

}  // namespace lotusyard::control
