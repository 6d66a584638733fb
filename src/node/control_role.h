// The control node of a member: it serves sessions of invokers that are not members of the group, replicates
// the group's records to them, and reports an aggregate of all sessions in the member's heartbeat.
#pragma once

#include <functional>
#include <string>

#include "app/app.h"
#include "compliance/compliance_replica.h"
#include "control/allotment.h"
#include "control/config.h"
#include "control/node_server.h"
#include "maintenance/maintenance_replica.h"
#include "node/session_observations.h"
#include "quota/quota_replica.h"
#include "raft/raft_replica.h"

namespace lotusyard::node {

// Sessions receive the records as a snapshot and then as deltas, each under the log index that it belongs to.
class ControlRole final : public raft::RaftReplica::Observer {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  // Starts to listen. All references must outlive this object. Throws config::ConfigError if it cannot
  // listen.
  ControlRole(const InvokerServices& services, const raft::Config& group, const control::NodeConfig& config,
              raft::RaftReplica& replica, maintenance::MaintenanceReplica& maintenance,
              compliance::ComplianceReplica& compliance, const raft::Lease& lease, LogSink log);
  ~ControlRole() override;

  // From the replica: the entry at `index` has been applied; the complete state has been replaced by a
  // snapshot.
  void log_applied(std::uint64_t index) override;
  void log_restored() override { rebuild_records_ = true; }

  // To be called when the member's lease may have changed; sessions' leases end no later than this one.
  void update_lease();
  // Sets this node's share of the slow-start budget, which it divides among its sessions.
  void set_share(double share);
  // Notifies sessions to move to other nodes, because the process ends.
  void shut_down() { server_.node().shut_down(); }
  // For the admin endpoint's `/-/group`.
  nlohmann::json status_to_json() const;

 private:
  InvokerServices services_;
  maintenance::MaintenanceReplica& maintenance_;
  compliance::ComplianceReplica& compliance_;
  const raft::Lease& lease_;
  LogSink log_;
  control::NodeServer server_;
  SessionObservations observations_;
  control::Allotment allotment_;
  control::Records records_;
  std::uint64_t records_version_ = 0;
  bool rebuild_records_ = true;  // sessions need a snapshot, because deltas are not known
  bool has_share_ = false;
  control::Floors floors_;  // over all sessions, at the last heartbeat

  maintenance::Millis now() const { return services_.loop.now(); }
  std::uint64_t version() const { return maintenance_.version() + compliance_.version(); }
  maintenance::MaintenanceReplica::SessionAggregate aggregate_sessions();
  void handle_forward(control::SessionTable::SessionId session, const control::Forward& forward);
  std::optional<double> share_of(control::SessionTable::SessionId session, maintenance::Millis lease_until);
};

}  // namespace lotusyard::node
