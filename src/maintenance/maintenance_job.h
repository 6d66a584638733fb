// Maintenance jobs and their disruption bounds, with their JSON encoding, which is the same in the log, in
// snapshots and in the admin endpoint. Does no I/O.
#pragma once

#include <nlohmann/json.hpp>
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
  Millis max_time_out{600000};     // a host out for longer is overdue and blocks its job
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

// The state's name in the encoding.
const char* name_of(MaintenanceJob::State state);

nlohmann::json bounds_to_json(const DisruptionBounds& bounds);
// Throws std::invalid_argument whose text begins with the key at fault.
DisruptionBounds parse_bounds(const nlohmann::json& from);

nlohmann::json job_to_json(const MaintenanceJob& job);
// Throws std::invalid_argument whose text begins with the key at fault.
MaintenanceJob parse_job(const nlohmann::json& from);
// Throws std::invalid_argument if there is no state of this name.
MaintenanceJob::State parse_job_state(const nlohmann::json& from);

}  // namespace lotusyard::maintenance
