// Simulates a group that maintains hosts: members with their own clocks apply one log with delays and call
// hosts, while members are killed and disconnected, and the leader changes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "maintenance/maintenance_entries.h"
#include "maintenance/maintenance_scheduler.h"
#include "raft/lease.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {

struct SimulatedMember {
  std::string name;
  std::uint64_t incarnation = 1;
  MaintenanceState state;
  std::optional<raft::Lease> lease;
  double clock_rate = 1;    // its clock: true time * clock_rate + clock_offset
  double clock_offset = 0;  // milliseconds
  bool running = true;
  bool reachable = true;
  std::size_t applied = 0;  // log entries applied
  // By host: the true time at which the last call sent there ends.
  std::map<std::string, double> calls;
  std::map<std::string, double> calls_of_earlier_incarnations;  // unknown to this incarnation
  double next_heartbeat_at = 0;
};

class SimulatedGroup {
 public:
  // Injected faults, which the check has to detect.
  struct Faults {
    bool ignores_lease = false;
    bool ignores_drain = false;
  };

  SimulatedGroup(std::uint64_t seed, int members, int hosts);

  // Runs a job over all hosts. Returns the violation that was found, or nothing.
  std::string run(int steps);
  int max_hosts_out() const { return max_hosts_out_; }
  int released_hosts() const { return released_hosts_; }
  // The state after the whole log.
  const MaintenanceState& newest_state() const { return newest_state_; }

  Faults faults;

 private:
  SimulatedMember& leader() { return members_[leader_]; }
  Millis clock(const SimulatedMember& member) const {
    return Millis(now_ * member.clock_rate + member.clock_offset);
  }
  void start_lease(SimulatedMember& member) { member.lease.emplace(terms_, clock(member)); }
  bool may_use(const SimulatedMember& member, const std::string& host) const;
  void append(const LogEntry& entry);
  void step();
  void apply_log(SimulatedMember& member);
  void call_host(SimulatedMember& member);
  void send_heartbeat(SimulatedMember& member);
  void rejoin(const SimulatedMember& member);
  maintenance::Heartbeat make_heartbeat_of(SimulatedMember& member);
  void run_leader();
  void elect_leader();
  void disturb();
  void restart(SimulatedMember& member);
  void return_random_host();
  std::set<std::string> hosts_out_of_service();
  // Checks that no member uses a host that is released to operators, by true time.
  void check_calls();
  void check_calls_to(const std::string& host, const SimulatedMember& member);

  Random random_;
  raft::LeaseTerms terms_;
  const int host_count_;
  double now_ = 1000;
  std::vector<LogEntry> log_;
  std::vector<SimulatedMember> members_;
  std::size_t leader_ = 0;
  std::size_t leads_from_index_ = 0;                            // the size of the log when it was elected
  std::optional<maintenance::MaintenanceScheduler> scheduler_;  // of the leader
  std::map<std::string, maintenance::Heartbeat> received_heartbeats_;  // by the leader, by member
  MaintenanceState newest_state_;
  std::size_t newest_applied_ = 0;
  int max_hosts_out_ = 0;
  int released_hosts_ = 0;
  std::string violation_;
};

}  // namespace lotusyard::test
