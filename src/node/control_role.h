// What makes a member of the group a control node: it serves sessions of invokers that are no members, passes
// the group's records on to them, and speaks for all of them in its own sign of life.
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

class ControlRole final : public raft::RaftReplica::Observer {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  // All that it is given outlives it. Throws config::ConfigError if it cannot listen.
  ControlRole(const InvokerServices& wiring, const raft::Config& group, const control::NodeConfig& config,
              raft::RaftReplica& member, maintenance::MaintenanceReplica& coordinator,
              compliance::ComplianceReplica& officer, const raft::Lease& lease, LogSink note);
  ~ControlRole() override;

  // From the member: an entry of the log has been applied, or the whole state was replaced.
  void log_applied(std::uint64_t index) override;
  void log_restored() override { rebuild_records_ = true; }

  void update_lease();                          // the lease may have come or gone
  void set_share(double share);                 // this node's part of a cold host's budget
  void shut_down() { server_.node().leave(); }  // the process ends
  nlohmann::json status_to_json() const;

 private:
  InvokerServices services_;
  maintenance::MaintenanceReplica& maintenance_;
  compliance::ComplianceReplica& compliance_;
  const raft::Lease& lease_;
  LogSink log_;
  control::NodeServer server_;
  SessionObservations views_;
  control::Allotment allotment_;
  control::Records records_;
  std::uint64_t records_version_ = 0;
  bool rebuild_records_ = true;  // the records are to be given anew, in whole
  bool shares_told_ = false;
  control::Floors floors_;

  maintenance::Millis now() const { return services_.loop.now(); }
  std::uint64_t version() const { return maintenance_.version() + compliance_.version(); }
  maintenance::MaintenanceReplica::SessionAggregate aggregate_sessions();
  void handle_forward(control::SessionTable::SessionId session, const control::Forward& forward);
  std::optional<double> share_of(control::SessionTable::SessionId session, maintenance::Millis lease_until);
};

}  // namespace lotusyard::node
