// The commands of the replicated maintenance log, one in each entry.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "maintenance/heartbeat.h"
#include "maintenance/maintenance_job.h"

namespace lotusyard::maintenance {

// Heartbeats collected by the leader.
struct RecordHeartbeats {
  std::vector<Heartbeat> heartbeats;
};

// A member begins a new incarnation.
struct Join {
  std::string member;
  std::uint64_t incarnation = 0;
  bool serves = true;  // whether the member serves calls
};

// An operator declares a member permanently gone.
struct Leave {
  std::string member;
};

struct AddJob {
  std::optional<MaintenanceJob> job;  // a proposal without a job is refused when it is applied
};

// A job is paused, resumed or cancelled.
struct ChangeJobState {
  std::string job;
  MaintenanceJob::State state = MaintenanceJob::State::running;
};

struct ChangeBounds {
  std::string job;
  std::optional<DisruptionBounds> bounds;  // a proposal without bounds is refused when it is applied
};

// Hosts that may be drained next: a member without a lease avoids them.
struct SelectHosts {
  std::string job;  // not evaluated: hosts of several jobs may be selected together
  std::vector<std::string> hosts;
};

// A host of a job enters another stage.
struct HostTransition {
  std::string job;
  std::string host;
  std::uint64_t selected_at_index = 0;  // the log index at which the host was last selected or drained
};

struct StartDrain : HostTransition {};          // no member sends calls to the host any more
struct ReleaseToOperators : HostTransition {};  // no member uses the host: operators may work on it
struct ReturnToService : HostTransition {};     // the host is used again, with slow start
struct Complete : HostTransition {};            // the host has served calls again
struct Overdue : HostTransition {};             // the host has been out for longer than its job allows

// No effect; once it is applied, its proposer knows that its state is current.
struct ReadBarrier {};

using Command = std::variant<RecordHeartbeats, Join, Leave, AddJob, ChangeJobState, ChangeBounds, SelectHosts,
                             StartDrain, ReleaseToOperators, ReturnToService, Complete, Overdue, ReadBarrier>;

struct LogEntry {
  Command command = ReadBarrier{};
  std::string reason;    // for operators; with heartbeats: why jobs wait, as a JSON object by job id
  std::string proposal;  // an operator's id for the command, by which its outcome can be queried
};

// The command's name in the encoding and in log lines.
const char* name_of(const Command& command);

// Whether the entry holds a command of type `Type`.
template <typename Type>
bool holds(const LogEntry& entry) {
  return std::holds_alternative<Type>(entry.command);
}

}  // namespace lotusyard::maintenance
