#include "node/control_role.h"

#include <algorithm>

#include "config/config.h"
#include "metrics/control_counters.h"
#include "node/state_records.h"

namespace lotusyard::node {
namespace {

using nlohmann::json;

// The component under which sessions forward host observations; on the wire.
const std::string kObservationsComponent = "works";

control::ControlNode::Config node_config(const raft::Config& group, const control::NodeConfig& config,
                                         std::uint64_t incarnation) {
  control::ControlNode::Config node;
  node.cluster = group.cluster;
  node.self = config.self;
  node.incarnation = incarnation;
  node.terms = group.terms;
  node.terms.max_offline = config.offline;
  node.sessions = config.sessions;
  return node;
}

}  // namespace

ControlRole::ControlRole(const InvokerServices& services, const raft::Config& group,
                         const control::NodeConfig& config, raft::RaftReplica& replica,
                         maintenance::MaintenanceReplica& maintenance,
                         compliance::ComplianceReplica& compliance, const raft::Lease& lease, LogSink log)
    : services_(services),
      maintenance_(maintenance),
      compliance_(compliance),
      lease_(lease),
      log_(std::move(log)),
      server_(services.loop, services.counters, node_config(group, config, replica.incarnation())) {
  control::ControlNode& node = server_.node();
  node.set_nodes(config.nodes);
  node.set_forward_handler(
      [this](auto session, const control::Forward& forward) { handle_forward(session, forward); });
  node.set_share_source(
      [this](auto session, maintenance::Millis lease_until) { return share_of(session, lease_until); });
  if (!server_.listen(config.listen)) {
    throw config::ConfigError("configuration: control.listen: cannot listen on " + config.listen);
  }
  replica.set_observer(this);
  maintenance_.set_aggregate_source(
      [this] { return aggregate_sessions(); },
      [this](maintenance::HostObservations own) { return observations_.merged(std::move(own)); });
  compliance_.set_sessions_quiesced([this](std::uint64_t index) { return floors_.quiesced_index >= index; });
  log_("sessions are accepted on " + server_.address());
}

ControlRole::~ControlRole() {
  maintenance_.set_aggregate_source({}, {});
  compliance_.set_sessions_quiesced({});
}

// Each delta goes out under the index of its own entry. Under a lower one, sessions would confirm it before
// they have it.
void ControlRole::log_applied(std::uint64_t index) {
  control::ControlNode& node = server_.node();
  if (!rebuild_records_ && version() == records_version_)
    return node.apply(index, {});
  control::Records records = records_of(maintenance_.state(), compliance_.state());
  if (rebuild_records_) {
    node.reset(index, records);
  } else {
    node.apply(index, control::difference(records_, records));
  }
  rebuild_records_ = false;
  records_version_ = version();
  records_ = std::move(records);
}

void ControlRole::update_lease() {
  const bool holds_lease = !maintenance_.has_failed() && lease_.is_held(now());
  server_.node().set_lease(holds_lease ? lease_.expires_at() : maintenance::Millis(0));
}

// A smaller share is valid from the entry that is being applied now, which does not count as applied yet.
void ControlRole::set_share(double share) {
  has_share_ = true;
  allotment_.set_budget(share, server_.node().changes().applied() + 1);
}

std::optional<double> ControlRole::share_of(control::SessionTable::SessionId session,
                                            maintenance::Millis lease_until) {
  if (!has_share_)
    return std::nullopt;
  return allotment_.grant(session, server_.node().sessions().connected(), lease_until, now());
}

maintenance::MaintenanceReplica::SessionAggregate ControlRole::aggregate_sessions() {
  const auto is_known = [this](SessionObservations::SessionId session) {
    return server_.node().sessions().known(session);
  };
  observations_.retain(is_known);
  floors_ = server_.node().floors(now());
  return {allotment_.respected(floors_.applied, now()), floors_.followed, floors_.quiesced_index};
}

void ControlRole::handle_forward(control::SessionTable::SessionId session, const control::Forward& forward) {
  const bool is_known_component = forward.state_machine == kObservationsComponent;
  const bool accepted = is_known_component && observations_.update(session, forward.payload);
  if (!accepted)
    services_.counters.add(metrics::kControlMalformedWords);
}

json ControlRole::status_to_json() const {
  const auto& sessions = server_.node().sessions();
  return {{"sessions", sessions.connected()},  {"counted", sessions.size()},
          {"applied", floors_.applied},        {"followed", floors_.followed},
          {"settled", floors_.quiesced_index}, {"records", records_.size()},
          {"views", observations_.size()}};
}

}  // namespace lotusyard::node
