// Looks at what a node sends over one connection: every delta must follow on from what was sent before it, so
// that nothing is left out, whether or not the receiver finds that out and recovers.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "control/message_codec.h"

namespace lotusyard::test {

class SentDeltas {
 public:
  // False: the frame holds a delta that does not follow on.
  bool follows_on(const std::string& frame) {
    std::vector<control::Message> messages;
    control::MessageReader reader(control::kMaxFrameBytesToInvoker);
    if (!reader.parse(frame, messages) || messages.size() != 1)
      return false;
    if (const auto* chunk = std::get_if<control::SnapshotChunk>(&messages[0]))
      reached_ = chunk->index;
    const auto* delta = std::get_if<control::Delta>(&messages[0]);
    if (delta == nullptr)
      return true;
    // The first one follows the position that the invoker opened with.
    const bool follows = !reached_ || delta->after <= *reached_;
    reached_ = delta->index;
    return follows;
  }

 private:
  std::optional<control::Index> reached_;
};

}  // namespace lotusyard::test
