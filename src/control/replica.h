// An invoker's copy of the records: a snapshot, then deltas, each applied once and in order. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "control/change.h"
#include "control/message.h"

namespace lotusyard::control {

class Replica {
 public:
  enum class Outcome {
    applied,     // the position has advanced
    incomplete,  // a chunk was buffered; more of the snapshot must follow
    duplicate,   // was applied before; nothing changes
    gap,         // a change before it is missing; was not applied
    malformed    // cannot be decoded, or is inconsistent; was not applied
  };
  // Called after the position has advanced; `change` is null after a snapshot.
  using UpdateListener = std::function<void(const Change* change)>;

  void set_update_listener(UpdateListener listener) { update_listener_ = std::move(listener); }

  // Chunks must come in order; one at offset 0 restarts the snapshot. A snapshot that is not newer than the
  // replica is a duplicate. After a malformed chunk the snapshot must be restarted.
  Outcome apply(const SnapshotChunk& chunk);
  // Applied if after <= position < index. Before the first complete snapshot every delta is a gap.
  Outcome apply(const Delta& delta);
  // The connection has ended: an incomplete snapshot is restarted on the next one.
  void abandon_snapshot();

  Index position() const { return position_; }
  // Whether a snapshot has ever been applied completely.
  bool complete() const { return position_ > 0; }
  const Records& records() const { return records_; }

 private:
  Records records_;
  Index position_ = 0;
  UpdateListener update_listener_;
  // The snapshot in progress; `buffered_` is empty if there is none.
  std::string buffered_;
  Index snapshot_index_ = 0;
  std::uint64_t snapshot_size_ = 0;

  bool is_next_chunk(const SnapshotChunk& chunk) const;
  Outcome complete_snapshot();
  void notify(const Change* change) const;
};

}  // namespace lotusyard::control
