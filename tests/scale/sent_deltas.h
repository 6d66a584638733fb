// Checks the frames that a node sends over one connection: every delta must continue from the position sent
// before it, whether or not the receiver would detect the gap and recover.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "control/message_codec.h"

namespace lotusyard::test {

class SentDeltas {
 public:
  // Returns false if the frame is malformed or holds a delta that leaves a gap.
  bool is_continuous(const std::string& frame) {
    std::vector<control::Message> messages;
    control::MessageReader reader(control::kMaxFrameBytesToInvoker);
    if (!reader.parse(frame, messages) || messages.size() != 1)
      return false;
    if (const auto* chunk = std::get_if<control::SnapshotChunk>(&messages[0]))
      position_ = chunk->index;
    const auto* delta = std::get_if<control::Delta>(&messages[0]);
    if (delta == nullptr)
      return true;
    // The first delta continues from the position in the invoker's Open.
    const bool continuous = !position_ || delta->after <= *position_;
    position_ = delta->index;
    return continuous;
  }

 private:
  std::optional<control::Index> position_;
};

}  // namespace lotusyard::test
