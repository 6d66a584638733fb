// What the members of a group agree upon about works on machines, one entry at a time, and its one wording
// (JSON) in the log and on the links.
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

// A host as a work names it: where it stands and of what kind it is decide which bounds it counts for.
struct HostKey {
  std::string id, zone, kind;
};

// How many hosts may be out at once, over all works together. 0: no bound of that sort.
struct DisruptionBounds {
  int max_out = 1, max_out_per_zone = 0, max_out_per_kind = 0;
  double min_usable_share =
      0.5;  // least share of all listed hosts that stays usable, as every member sees them
  Millis max_time_out{600000};     // time allowed out; one that takes longer holds up the work and is named
  Millis pause{0};                 // from one host's return to the next host's leaving
  bool restart_is_return = false;  // a host that starts anew while it is out is back without being told so
};

struct MaintenanceJob {
  enum class State { running, paused, done, cancelled };
  std::string id;
  std::vector<HostKey> hosts;
  DisruptionBounds bounds;
  State state = State::running;
};

// What one member saw of the hosts, as it was put into the log.
struct HostObservations {
  std::map<std::string, double>
      serving_value;                // by host: worth a second that it serves, more where copies stand alone
  std::set<std::string> down;       // listed, not usable, and not out for a work
  std::set<std::string> restarted;  // out for a work, and started anew meanwhile
  std::set<std::string> served;     // back from a work, and has answered a call since
  double calls_per_second = 0,
         failed_per_second = 0;  // calls a second taken, and those of them that were not served
  int listed_hosts = 0;          // hosts
};

// One member's sign of life. `stamp` is its own clock's; `has` the index up to which it follows the log.
struct Heartbeat {
  std::string member;
  std::uint64_t incarnation = 0;
  double sent_at = 0;
  std::uint64_t applied_index = 0;
  std::set<std::string> drained_hosts;  // hosts that take no call of this member's any more, and hold none
  std::optional<HostObservations> observations = std::nullopt;  // absent where it is as before
  // Up to where also those have followed that it represents and that may go on without a lease; absent:
  // `has`.
  std::optional<std::uint64_t> followed_index = std::nullopt;
};

struct LogEntry {
  enum class Kind {
    heartbeats,            // signs of life, as the leader gathered them
    join,                  // a member begins a new life
    leave,                 // an operator says that a member is gone for good
    add_job,               // a work
    change_job_state,      // a work is paused, resumed, called off
    change_bounds,         // a work's bounds change
    select_hosts,          // these hosts may be next: a member without its lease does not use them
    start_drain,           // no member uses this host from now on
    release_to_operators,  // the operators may touch it
    return_to_service,     // it is in use again, cold
    complete,              // it has served: it counts as back
    overdue,               // its time is up
    read_barrier           // changes nothing: who asked knows that a majority stands behind what it reads
  };
  Kind kind = Kind::read_barrier;
  std::string proposal;  // an operator's, by which its outcome can be asked for
  std::string job, host, member, reason;
  std::uint64_t incarnation = 0,
                selected_at_index = 0;  // round: the index at which the host was named or taken
  bool serves = true;
  MaintenanceJob::State state = MaintenanceJob::State::running;
  std::vector<Heartbeat> heartbeats;
  std::vector<std::string> hosts;
  std::optional<MaintenanceJob> added_job;
  std::optional<DisruptionBounds> bounds;
};

constexpr std::size_t max_entry_bytes = 256 * 1024;  // bytes of its wording

std::string encode_entry(const LogEntry& entry);
std::optional<LogEntry> parse_entry(const std::string& text);  // nothing: it is none that this version knows
nlohmann::json job_to_json(const MaintenanceJob& work);
// Throws std::invalid_argument naming the key.
MaintenanceJob parse_job(const nlohmann::json& from);
DisruptionBounds parse_bounds(const nlohmann::json& from);
const char* name_of(MaintenanceJob::State state);
const char* name_of(LogEntry::Kind kind);
nlohmann::json heartbeat_to_json(const Heartbeat& beat);
std::optional<Heartbeat> parse_heartbeat(const nlohmann::json& from);

}  // namespace lotusyard::maintenance
