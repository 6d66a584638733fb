#include "raft/state_machine_set.h"

#include <algorithm>

namespace lotusyard::raft {

ReplicatedStateMachine* StateMachineSet::find(const std::string& name) const {
  const auto is_same = [&](const ReplicatedStateMachine* state_machine) {
    return state_machine->name() == name;
  };
  const auto found = std::find_if(state_machines_.begin(), state_machines_.end(), is_same);
  return found == state_machines_.end() ? nullptr : *found;
}

std::string StateMachineSet::snapshot() const {
  std::map<std::string, std::string> snapshots;
  for (ReplicatedStateMachine* state_machine : state_machines_) {
    snapshots.emplace(state_machine->name(), state_machine->snapshot());
  }
  return encode_snapshots(snapshots);
}

bool StateMachineSet::restore(const std::string& snapshot) const {
  const auto snapshots = decode_snapshots(snapshot);
  if (!snapshots) {
    return false;
  }
  const bool all_known = std::all_of(snapshots->begin(), snapshots->end(),
                                     [&](const auto& entry) { return find(entry.first) != nullptr; });
  if (!all_known) {
    return false;
  }
  for (ReplicatedStateMachine* state_machine : state_machines_) {
    const auto found = snapshots->find(state_machine->name());
    if (!state_machine->restore(found == snapshots->end() ? std::string() : found->second)) {
      return false;
    }
  }
  return true;
}

void StateMachineSet::on_store_failure(const std::string& reason) const {
  for (ReplicatedStateMachine* state_machine : state_machines_) {
    state_machine->on_store_failure(reason);
  }
}

}  // namespace lotusyard::raft
