// Tracks up to which index a follower's log is known to match that of its leader.
//
// libraft 0.15 answers an accepted AppendEntries with the follower's last index, even if entries of an
// earlier leader that the current one never had still follow the entries that were checked. A leader that has
// since appended entries of its own at these indexes would count them as replicated and commit them.
// Therefore the index in the answer is bounded by the end of what the current leader sent and this follower
// accepted.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "raft/libraft.h"

namespace lotusyard::raft {

class MatchTracker {
 public:
  MatchTracker() = default;

  // begin() and end() are to be called around libraft's handling of a received message.
  void begin(const raft_message& message) {
    if (message.type == RAFT_IO_APPEND_ENTRIES) {
      const auto& request = message.append_entries;
      begin(request.term, request.prev_log_index + request.n_entries);
    } else if (message.type == RAFT_IO_INSTALL_SNAPSHOT) {
      begin(message.install_snapshot.term, message.install_snapshot.last_index);
    }
  }
  void end() { request_end_.reset(); }

  // libraft has accepted the message that it is handling: it answers it or stores its content.
  void accepted() {
    if (request_end_) {
      matched_index_ = std::max(matched_index_, *request_end_);
    }
  }

  // Returns the message that may be sent in place of `message`.
  raft_message bounded(raft_message message) {
    if (message.type != RAFT_IO_APPEND_ENTRIES_RESULT || message.append_entries_result.rejected != 0) {
      return message;
    }
    accepted();
    auto& last_index = message.append_entries_result.last_log_index;
    last_index = std::min<raft_index>(last_index, matched_index_);
    return message;
  }

 private:
  explicit MatchTracker(raft_term term) : term_(term) {}

  raft_term term_ = 0;
  raft_index matched_index_ = 0;           // within term_
  std::optional<raft_index> request_end_;  // the last index of the message that is being handled

  void begin(raft_term term, raft_index end) {
    if (term > term_) {
      *this = MatchTracker(term);
    }
    if (term == term_) {
      request_end_ = end;
    }
  }
};

}  // namespace lotusyard::raft
