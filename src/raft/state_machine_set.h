// The state machines that share the log of a replica.
#pragma once

#include <string>
#include <vector>

#include "raft/replicated_state_machine.h"

namespace lotusyard::raft {

// Does not own the state machines, which must outlive it.
class StateMachineSet {
 public:
  explicit StateMachineSet(std::vector<ReplicatedStateMachine*> state_machines)
      : state_machines_(std::move(state_machines)) {}

  // Returns null if there is none of that name.
  ReplicatedStateMachine* find(const std::string& name) const;
  // Returns the snapshots of all of them, serialized.
  std::string snapshot() const;
  // Returns false if the snapshot cannot be read, or holds the state of an unknown state machine.
  bool restore(const std::string& snapshot) const;
  void on_store_failure(const std::string& reason) const;

 private:
  std::vector<ReplicatedStateMachine*> state_machines_;
};

}  // namespace lotusyard::raft
