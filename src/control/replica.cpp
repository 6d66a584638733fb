#include "control/replica.h"

#include "core/fault_injection.h"

namespace lotusyard::control {

Replica::Outcome Replica::take(const SnapshotChunk& chunk) {
  if (chunk.index <= position_)
    return Outcome::duplicate;
  if (chunk.offset == 0) {
    abandon_snapshot();
    piecing_ = chunk.index;
    total_ = chunk.total;
  }
  if (!fits(chunk)) {
    abandon_snapshot();
    return Outcome::malformed;
  }
  pieces_ += chunk.bytes;
  return pieces_.size() == total_ ? complete_snapshot() : Outcome::incomplete;
}

// Whether the chunk is the next one of the snapshot under way.
bool Replica::fits(const SnapshotChunk& chunk) const {
  const bool continues = chunk.index == piecing_ && chunk.total == total_ && chunk.offset == pieces_.size();
  const bool bounded = total_ <= longest_snapshot && chunk.bytes.size() <= total_ - pieces_.size();
  return continues && bounded && !chunk.bytes.empty();
}

Replica::Outcome Replica::complete_snapshot() {
  auto records = decode_records(pieces_);
  const Index index = piecing_;
  abandon_snapshot();
  if (!records)
    return Outcome::malformed;
  records_ = std::move(*records);
  position_ = index;
  if (moved_)
    moved_(nullptr);
  return Outcome::applied;
}

Replica::Outcome Replica::take(const Delta& delta) {
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
  apply(records_, *change);
  position_ = delta.index;
  if (piecing_ <= position_)
    abandon_snapshot();  // it was overtaken
  if (moved_)
    moved_(&*change);
  return Outcome::applied;
}

void Replica::abandon_snapshot() {
  std::string().swap(pieces_);  // gives its memory back; an assignment would keep it
  piecing_ = 0;
  total_ = 0;
}

}  // namespace lotusyard::control
