#include "node/control_role.h"

#include <algorithm>

#include "config/config.h"
#include "node/state_records.h"

namespace lotusyard::node {
namespace {

using nlohmann::json;

const std::string kViews = "works";  // the part for which sessions forward what they see

control::ControlNode::Config node_config(const raft::Config& group, const control::NodeConfig& config,
                                         std::uint64_t life) {
  control::ControlNode::Config out;
  out.cluster = group.cluster;
  out.self = config.self;
  out.life = life;
  out.terms = group.terms;
  out.terms.max_offline = config.offline;
  out.sessions = config.sessions;
  return out;
}

}  // namespace

ControlRole::ControlRole(const InvokerServices& wiring, const raft::Config& group,
                         const control::NodeConfig& config, raft::RaftReplica& member,
                         maintenance::MaintenanceReplica& coordinator, compliance::ComplianceReplica& officer,
                         const raft::Lease& lease, LogSink note)
    : services_(wiring),
      maintenance_(coordinator),
      compliance_(officer),
      lease_(lease),
      log_(std::move(note)),
      server_(wiring.loop, wiring.counters, node_config(group, config, member.incarnation())) {
  control::ControlNode& node = server_.node();
  node.set_nodes(config.nodes);
  node.when_forwarded([this](auto session, const control::Forward& word) { handle_forward(session, word); });
  node.divide_by([this](auto session, maintenance::Millis until) { return share_of(session, until); });
  if (!server_.listen(config.listen))
    throw config::ConfigError("configuration: control.listen: cannot listen on " + config.listen);
  member.set_observer(this);
  maintenance_.set_aggregate_source(
      [this] { return aggregate_sessions(); },
      [this](maintenance::HostObservations own) { return views_.merged(std::move(own)); });
  compliance_.set_sessions_quiesced([this](std::uint64_t index) { return floors_.settled >= index; });
  log_("sessions are taken on " + server_.address());
}

ControlRole::~ControlRole() {
  maintenance_.set_aggregate_source({}, {});
  compliance_.set_sessions_quiesced({});
}

// Danger: a change that is passed on under an index below its own would count as applied too early.
void ControlRole::log_applied(std::uint64_t index) {
  control::ControlNode& node = server_.node();
  if (!rebuild_records_ && version() == records_version_) return node.applied(index, {});
  control::Records records = records_of(maintenance_.state(), compliance_.state());
  if (rebuild_records_) {
    node.reset(index, records);
  } else {
    node.applied(index, control::difference(records_, records));
  }
  rebuild_records_ = false;
  records_version_ = version();
  records_ = std::move(records);
}

void ControlRole::update_lease() {
  const bool holds = !maintenance_.has_failed() && lease_.is_held(now());
  server_.node().set_lease(holds ? lease_.expires_at() : maintenance::Millis(0));
}

// Danger: a smaller part holds from the entry on that is being applied now, which is not counted as applied
// yet.
void ControlRole::set_share(double share) {
  shares_told_ = true;
  allotment_.set_part(share, server_.node().changes().applied() + 1);
}

std::optional<double> ControlRole::share_of(control::SessionTable::SessionId session,
                                            maintenance::Millis lease_until) {
  if (!shares_told_) return std::nullopt;
  return allotment_.grant(session, server_.node().sessions().connected(), lease_until, now());
}

maintenance::MaintenanceReplica::SessionAggregate ControlRole::aggregate_sessions() {
  const auto known = [this](SessionObservations::SessionId id) {
    return server_.node().sessions().known(id);
  };
  views_.retain(known);
  floors_ = server_.node().floors(now());
  return {allotment_.respected(floors_.applied, now()), floors_.followed, floors_.settled};
}

void ControlRole::handle_forward(control::SessionTable::SessionId session, const control::Forward& forward) {
  const bool taken = forward.part == kViews && views_.update(session, forward.word);
  if (!taken) services_.counters.add("control.malformed_words");
}

json ControlRole::status_to_json() const {
  const auto& sessions = server_.node().sessions();
  return {{"sessions", sessions.connected()},
          {"counted", sessions.size()},
          {"applied", floors_.applied},
          {"followed", floors_.followed},
          {"settled", floors_.settled},
          {"records", records_.size()},
          {"views", views_.size()}};
}

}  // namespace lotusyard::node
