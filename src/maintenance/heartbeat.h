// Heartbeats of members, with their JSON encoding, which is the same in the log, in snapshots and between
// members. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace lotusyard::maintenance {

constexpr std::size_t kMaxMemberNameBytes = 128;

// What one member observed of the hosts, and the rates of its own calls.
struct HostObservations {
  // Value served per second by host; calls that only this host can serve warm are weighted higher.
  std::map<std::string, double> serving_value;
  std::set<std::string> down;       // listed but not usable, and not out of service for a job
  std::set<std::string> restarted;  // out of service for a job, and restarted since
  std::set<std::string> served;     // returned from a job, and has served a call since
  double calls_per_second = 0;
  double failed_per_second = 0;  // of these, the calls that were rejected or failed
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

nlohmann::json heartbeat_to_json(const Heartbeat& heartbeat);
std::optional<Heartbeat> parse_heartbeat(const nlohmann::json& from);  // nothing if malformed

}  // namespace lotusyard::maintenance
