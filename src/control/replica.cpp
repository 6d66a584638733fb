#include "control/replica.h"

#include <utility>

#include "core/fault_injection.h"

namespace lotusyard::control {

Replica::Outcome Replica::apply(const SnapshotChunk& chunk) {
  if (chunk.index <= position_)
    return Outcome::duplicate;
  if (chunk.offset == 0) {
    abandon_snapshot();
    snapshot_index_ = chunk.index;
    snapshot_size_ = chunk.total;
  }
  if (!is_next_chunk(chunk)) {
    abandon_snapshot();
    return Outcome::malformed;
  }
  buffered_ += chunk.bytes;
  return buffered_.size() == snapshot_size_ ? complete_snapshot() : Outcome::incomplete;
}

bool Replica::is_next_chunk(const SnapshotChunk& chunk) const {
  const bool is_same_snapshot = chunk.index == snapshot_index_ && chunk.total == snapshot_size_;
  if (!is_same_snapshot || chunk.offset != buffered_.size() || chunk.bytes.empty())
    return false;
  return snapshot_size_ <= kMaxSnapshotBytes && chunk.bytes.size() <= snapshot_size_ - buffered_.size();
}

Replica::Outcome Replica::complete_snapshot() {
  auto records = decode_records(buffered_);
  const Index index = snapshot_index_;
  abandon_snapshot();
  if (!records)
    return Outcome::malformed;
  records_ = std::move(*records);
  position_ = index;
  notify(nullptr);
  return Outcome::applied;
}

Replica::Outcome Replica::apply(const Delta& delta) {
  if (delta.after >= delta.index)
    return Outcome::malformed;
  if (!complete())
    return Outcome::gap;
  if (delta.index <= position_ && !fault_injected("apply-twice"))
    return Outcome::duplicate;
  if (delta.after > position_ && !fault_injected("accept-gap"))
    return Outcome::gap;
  const auto change = decode_change(delta.change);
  if (!change)
    return Outcome::malformed;
  control::apply(records_, *change);
  position_ = delta.index;
  const bool is_snapshot_obsolete = snapshot_index_ <= position_;
  if (is_snapshot_obsolete)
    abandon_snapshot();
  notify(&*change);
  return Outcome::applied;
}

void Replica::abandon_snapshot() {
  std::string().swap(buffered_);  // releases the memory; an assignment would keep it
  snapshot_index_ = 0;
  snapshot_size_ = 0;
}

void Replica::notify(const Change* change) const {
  if (update_listener_)
    update_listener_(change);
}

}  // namespace lotusyard::control
