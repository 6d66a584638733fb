// Whoever decides by a group's log. Several parts share one member, one log and one set of links; each has
// its own kind of entry, word and snapshot.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lotusyard::raft {

// Calls come from the loop, one at a time; `restore` also while the member is being made.
class ReplicatedStateMachine {
 public:
  virtual ~ReplicatedStateMachine() = default;
  virtual const char* name() const = 0;  // small letters; goes before all that is this part's
  virtual void apply(std::uint64_t index, const std::string& entry) = 0;
  virtual std::string snapshot() = 0;
  // False: it cannot be read. Empty: the group had none of this part yet.
  virtual bool restore(const std::string& snapshot) = 0;
  virtual void handle_message(const std::string& word) = 0;  // by another member, to the one that leads
  virtual void on_store_failure(const std::string& why) = 0;
};

// The wording of what several parts put into one log.
std::string tag_entry(const std::string& kind, const std::string& text);
// Kind and text. What was written before there were kinds is of works.
std::pair<std::string, std::string> untag_entry(const std::string& tagged);
std::string encode_snapshots(const std::map<std::string, std::string>& snapshots);
std::optional<std::map<std::string, std::string>> decode_snapshots(const std::string& snapshot);

}  // namespace lotusyard::raft
