// How far a follower's log is known to match its leader's.
//
// libraft 0.15 answers an accepted AppendEntries with the follower's last index, also if entries of an
// earlier leader, that the present one never had, still stand behind those that were checked. A leader that
// has appended entries of its own at these indexes meanwhile takes them for replicated and commits them. So
// the index that goes out is bounded by the end of what the present leader sent and this follower accepted.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "raft/libraft.h"

namespace lotusyard::raft {

class MatchTracker {
 public:
  // Around the library's handling of a message.
  void begin(const raft_message& message) {
    if (message.type == RAFT_IO_APPEND_ENTRIES) {
      const auto& request = message.append_entries;
      begin(request.term, request.prev_log_index + request.n_entries);
    } else if (message.type == RAFT_IO_INSTALL_SNAPSHOT) {
      begin(message.install_snapshot.term, message.install_snapshot.last_index);
    }
  }
  void end() { request_end_.reset(); }

  // The library has accepted the message that it handles: it answers it, or stores what it held.
  void accepted() {
    if (request_end_) matched_ = std::max(matched_, *request_end_);
  }
  // What may be answered.
  raft_message bounded(raft_message message) {
    if (message.type != RAFT_IO_APPEND_ENTRIES_RESULT || message.append_entries_result.rejected != 0)
      return message;
    accepted();
    auto& last = message.append_entries_result.last_log_index;
    last = std::min<raft_index>(last, matched_);
    return message;
  }

  MatchTracker() = default;

 private:
  explicit MatchTracker(raft_term term) : term_(term) {}
  raft_term term_ = 0;
  raft_index matched_ = 0;
  std::optional<raft_index> request_end_;

  void begin(raft_term term, raft_index end) {
    if (term > term_) *this = MatchTracker(term);
    if (term == term_) request_end_ = end;
  }
};

}  // namespace lotusyard::raft
