// The interface of a state machine that is replicated by a raft group. Several state machines share one
// replica, one log and one transport; each has entries, messages and a snapshot of its own, which are tagged
// with its name.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lotusyard::raft {

// All calls come from the event loop, one at a time; restore() is also called while the RaftReplica is being
// constructed.
class ReplicatedStateMachine {
 public:
  virtual ~ReplicatedStateMachine() = default;

  // The tag of its entries, messages and snapshots. It is stored and sent: never change it. Lower case.
  virtual const char* name() const = 0;

  // Applies a committed entry. Must be deterministic.
  virtual void apply(std::uint64_t index, const std::string& entry) = 0;

  // Returns the complete state, serialized.
  virtual std::string snapshot() = 0;

  // Replaces the state. An empty snapshot means that the group had no state of this kind yet. Returns false
  // if the snapshot cannot be read.
  virtual bool restore(const std::string& snapshot) = 0;

  // Handles a message that a member sent to the leader; called at the leader only.
  virtual void handle_message(const std::string& message) = 0;

  // The store has failed permanently: this replica no longer participates in the group.
  virtual void on_store_failure(const std::string& reason) = 0;
};

// Tags an entry or a message with the name of its state machine, and splits it again into name and text. An
// entry without a tag was written when there was only the maintenance state machine, and belongs to it.
std::string tag_entry(const std::string& name, const std::string& text);
std::pair<std::string, std::string> untag_entry(const std::string& tagged);

// Serializes the snapshots of all state machines, by name. The decoder returns nothing if the input is
// malformed.
std::string encode_snapshots(const std::map<std::string, std::string>& snapshots);
std::optional<std::map<std::string, std::string>> decode_snapshots(const std::string& snapshot);

}  // namespace lotusyard::raft
