// Jobs, heartbeats and log entries for the tests of maintenance, and a state to apply them to.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "maintenance/log_entry_codec.h"
#include "maintenance/maintenance_state.h"
#include "support/test_settings.h"

namespace lotusyard::test {

using core::Millis;
using maintenance::HostStage;
using maintenance::LogEntry;
using maintenance::MaintenanceJob;
using maintenance::MaintenanceState;

// The job "w" on the hosts h0, h1, ..., which are alternately in the zones east and west.
inline MaintenanceJob make_job(int hosts, int max_out, double min_usable_share = 0.5) {
  MaintenanceJob job;
  job.id = "w";
  for (int i = 0; i < hosts; ++i)
    job.hosts.push_back({"h" + std::to_string(i), i % 2 == 0 ? "east" : "west", "std"});
  job.bounds.max_out = max_out;
  job.bounds.min_usable_share = min_usable_share;
  return job;
}

inline LogEntry add_job(const MaintenanceJob& job) { return {maintenance::AddJob{job}, {}, {}}; }

inline LogEntry join(const std::string& member, std::uint64_t incarnation) {
  return {maintenance::Join{member, incarnation, true}, {}, {}};
}

inline LogEntry select_hosts(std::vector<std::string> hosts) {
  return {maintenance::SelectHosts{{}, std::move(hosts)}, {}, {}};
}

template <typename Transition>
LogEntry transition(const std::string& host, std::uint64_t selected_at_index = 0) {
  Transition command;
  command.host = host;
  command.selected_at_index = selected_at_index;
  return {command, {}, {}};
}

inline maintenance::Heartbeat make_heartbeat(const std::string& member, std::uint64_t incarnation,
                                             std::uint64_t applied_index, int listed_hosts) {
  maintenance::Heartbeat heartbeat{member,        incarnation, 0,
                                   applied_index, {},          maintenance::HostObservations()};
  heartbeat.observations->listed_hosts = listed_hosts;
  return heartbeat;
}

inline LogEntry record_heartbeats(std::vector<maintenance::Heartbeat> heartbeats) {
  return {maintenance::RecordHeartbeats{std::move(heartbeats)}, {}, {}};
}

// A state to which entries are applied at consecutive indices, at a time that the test sets.
struct StateFixture {
  MaintenanceState state;
  std::uint64_t index = 0;
  Millis now{1000};

  maintenance::ProposalOutcome apply(const LogEntry& entry) { return state.apply(++index, entry, now); }
  // The member a has applied all entries, has drained the hosts `drained`, and was served calls by `served`.
  void heartbeat(std::set<std::string> drained = {}, std::set<std::string> served = {}) {
    maintenance::Heartbeat heartbeat = make_heartbeat("a", 1, index, 10);
    heartbeat.drained_hosts = std::move(drained);
    heartbeat.observations->served = std::move(served);
    apply(record_heartbeats({heartbeat}));
  }
};

}  // namespace lotusyard::test
