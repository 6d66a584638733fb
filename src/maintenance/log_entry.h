// The commands of the maintenance log: what the members of a group agree on, one entry at a time, and their
// JSON encoding, which is the same in the log and between members.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lotusyard/policy/policy.h"

namespace lotusyard::maintenance {

using policy::Millis;

// A host of a job. Its zone and kind decide which disruption bounds it counts against.
struct HostKey {
  std::string id, zone, kind;
};

// Limits on the hosts that are unavailable at the same time, over all jobs together. A limit per zone or per
// kind of 0 means none.
struct DisruptionBounds {
  int max_out = 1;
  int max_out_per_zone = 0;
  int max_out_per_kind = 0;
  double min_usable_share = 0.5;   // share of all listed hosts that must stay usable, 0 to 1
  Millis max_time_out{600000};     // a host out for longer is overdue and holds up its job
  Millis pause{0};                 // least time between one host's return and the next host's drain
  bool restart_is_return = false;  // a host that restarts while it is out returns without an operator
};

// An operator's request to take a set of hosts out of service one after another.
struct MaintenanceJob {
  enum class State { running, paused, done, cancelled };
  std::string id;
  std::vector<HostKey> hosts;
  DisruptionBounds bounds;
  State state = State::running;
};

// What one member observed of the hosts and of its own calls.
struct HostObservations {
  // Value served per second by host; calls that only this host can serve warm are weighted higher.
  std::map<std::string, double> serving_value;
  std::set<std::string> down;       // listed but not usable, and not out of service for a job
  std::set<std::string> restarted;  // out of service for a job, and restarted since
  std::set<std::string> served;     // returned from a job, and has served a call since
  double calls_per_second = 0;
  double failed_per_second = 0;  // of these, the calls that were refused or failed
  int listed_hosts = 0;          // number of hosts known from discovery
};

// One member's heartbeat. It renews the member's lease and reports its progress.
struct Heartbeat {
  std::string member;
  std::uint64_t incarnation = 0;
  double sent_at = 0;                   // milliseconds on the sender's clock
  std::uint64_t applied_index = 0;      // last log index applied by the member and all holders of its leases
  std::set<std::string> drained_hosts;  // hosts that hold no call of this member and receive none
  std::optional<HostObservations> observations = std::nullopt;  // absent if unchanged
  // Last log index known to the sessions that may continue without a lease; absent if equal to
  // `applied_index`.
  std::optional<std::uint64_t> followed_index = std::nullopt;
};

// One command of the log. `kind` decides which of the other fields are meaningful.
struct LogEntry {
  enum class Kind {
    heartbeats,            // heartbeats collected by the leader
    join,                  // a member begins a new incarnation
    leave,                 // an operator declares a member permanently gone
    add_job,               // a new job
    change_job_state,      // a job is paused, resumed or cancelled
    change_bounds,         // a job's bounds are replaced
    select_hosts,          // hosts that may be drained next: a member without a lease avoids them
    start_drain,           // no member sends calls to the host any more
    release_to_operators,  // no member uses the host: the operators may work on it
    return_to_service,     // the host is used again, with slow start
    complete,              // the host has served calls again
    overdue,               // the host has been out for longer than its job allows
    read_barrier           // no effect; once applied, its proposer knows that its state is current
  };
  Kind kind = Kind::read_barrier;
  std::string proposal;  // an operator's id for the command, by which its outcome can be queried
  std::string job, host, member, reason;
  std::uint64_t incarnation = 0;
  std::uint64_t selected_at_index = 0;  // index of the entry that selected, drained or returned the host
  bool serves = true;                   // whether the joining member serves calls
  MaintenanceJob::State state = MaintenanceJob::State::running;
  std::vector<Heartbeat> heartbeats;
  std::vector<std::string> hosts;
  std::optional<MaintenanceJob> added_job;
  std::optional<DisruptionBounds> bounds;
};

constexpr std::size_t kMaxEntryBytes = 256 * 1024;  // size limit of an encoded entry

std::string encode_entry(const LogEntry& entry);
// Returns nothing if the text is too long, malformed, or of a kind unknown to this version.
std::optional<LogEntry> parse_entry(const std::string& text);

nlohmann::json job_to_json(const MaintenanceJob& job);
// Throws std::invalid_argument with the offending key.
MaintenanceJob parse_job(const nlohmann::json& from);
// Throws std::invalid_argument with the offending key.
DisruptionBounds parse_bounds(const nlohmann::json& from);

// Names as used in the encoding.
const char* name_of(MaintenanceJob::State state);
const char* name_of(LogEntry::Kind kind);

nlohmann::json heartbeat_to_json(const Heartbeat& heartbeat);
std::optional<Heartbeat> parse_heartbeat(const nlohmann::json& from);  // nothing if it is malformed

}  // namespace lotusyard::maintenance
