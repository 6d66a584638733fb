#include "node/cluster_member.h"

#include <cmath>

#include "node/event_log.h"
#include "node/session_invoker.h"

namespace lotusyard::node {
namespace {

using nlohmann::json;

const char* role_name(int role) {
  return role == RAFT_VOTER ? "votes" : role == RAFT_STANDBY ? "learns" : "waits";
}

}  // namespace

ClusterMember::ClusterMember(const InvokerServices& wiring, const raft::Config& config,
                             const std::optional<control::NodeConfig>& control)
    : services_(wiring),
      config_(config),
      lease_(config.terms, wiring.loop.now()),
      maintenance_(wiring, config_, lease_, [this](const std::string& text) { log_event("works", text); }),
      quota_(quota_services(), config_, maintenance_,
             [this](const std::string& text) { log_event("shares", text); }),
      compliance_(wiring, config_, maintenance_,
                  [this](const std::string& text) { log_event("compliance", text); }),
      replica_(wiring.loop, wiring.counters, config_, {&maintenance_, &quota_, &compliance_},
               [this](const std::string& text) { log_event("works", text); }) {
  constructed_ = true;
  maintenance_.attach(replica_);
  compliance_.attach(replica_);
  maintenance_.set_change_handler([this] { update_lease(); });
  if (control) {
    control_role_.emplace(wiring, config_, *control, replica_, maintenance_, compliance_, lease_,
                          [this](const std::string& text) { log_event("control", text); });
    update_lease();
  }
  if (config_.view) {
    gossip_.emplace(
        wiring, config_, replica_, [this](const std::string& host) { return maintenance_.sees_down(host); },
        [this](const std::string& text) { log_event("view", text); });
    quota_.attach(replica_);
    gossip_->set_change_handler([this] { update_lease(); });
  }
  log_event("works", "life=" + std::to_string(replica_.incarnation()) + " starts" +
                         (config.serves ? "" : ", serves no calls"));
}

void ClusterMember::log_event(const std::string& part, const std::string& text) const {
  write_event(part, services_.loop.now(), config_.member,
              "term=" + std::to_string(constructed_ ? replica_.term() : 0) +
                  " index=" + std::to_string(maintenance_.state().index()) + ' ' + text);
}

// Parts and standing hang on the lease, on the log and on the view.
void ClusterMember::update_lease() {
  compliance_.update();
  if (control_role_) control_role_->update_lease();
  if (!gossip_) return;
  if (maintenance_.ready() && config_.serves) gossip_->serve();
  quota_.update(gossip_->present_members());
}

// The member's part of what all may send a cold host goes to its sessions where it has any.
InvokerServices ClusterMember::quota_services() {
  InvokerServices out = services_;
  out.set_share = [this](double share) {
    if (control_role_) return control_role_->set_share(share);
    services_.set_share(share);
  };
  return out;
}

void ClusterMember::drain() {
  if (gossip_) gossip_->leave();
  if (control_role_) control_role_->shut_down();
}

// Asked by the module for each host that it considers. List, hand and works have had their say before: what
// they leave out is no host to the module.
bool ClusterMember::allows(const std::string& tenant, std::uint64_t function, const std::string& host) {
  return compliance_.filter().allows_host(tenant, function, host);
}

bool ClusterMember::may_send(const std::string& host, const core::Call* call, std::uint64_t function) {
  return maintenance_.may_send(host) && compliance_.filter().may_send(host, call, function);
}

void ClusterMember::attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) {
  maintenance_.attempt_ended(host, call, outcome);
}

std::optional<admin::Response> ClusterMember::handle_request(const admin::Request& request) {
  if (request.path == "/-/group")
    return request.method == "GET" ? admin::Response{200, group_to_json().dump()}
                                   : admin::Response{405, "GET"};
  if (request.path == "/-/view" && gossip_) {
    if (request.method != "GET") return admin::Response{405, "GET"};
    nlohmann::json shown = gossip_->status_to_json();
    shown["part"] = quota_.share();
    shown["sharers"] = quota_.epochs().current_holders();
    return admin::Response{200, shown.dump()};
  }
  if (auto said = compliance_.handle_request(request)) return said;
  return maintenance_.handle_request(request);
}

json ClusterMember::group_to_json() const {
  const auto& board = maintenance_.state();
  json members = json::object(), servers = json::array();
  for (const auto& [id, m] : board.members()) {
    members[id] = {{"life", m.incarnation},
                   {"follows", m.applied_index},
                   {"silent_ms", std::round((services_.loop.now() - m.last_heartbeat_at).count())},
                   {"listed", m.observations.listed_hosts},
                   {"down", m.observations.down}};
  }
  for (const auto& s : replica_.servers())
    servers.push_back({{"id", s.id}, {"address", s.address}, {"role", role_name(s.role)}});
  json out = {{"member", config_.member},
              {"id", replica_.id()},
              {"life", replica_.incarnation()},
              {"term", replica_.term()},
              {"leader", replica_.leader()},
              {"leads", replica_.is_leader()},
              {"index", board.index()},
              {"lease_ms", std::max(0.0, std::round((lease_.expires_at() - services_.loop.now()).count()))},
              {"failed", maintenance_.has_failed()},
              {"store_bytes", replica_.stored_bytes()},
              {"servers", servers},
              {"members", members}};
  if (control_role_) out["control"] = control_role_->status_to_json();
  return out;
}

std::unique_ptr<InvokerExtension> make_extension(const InvokerServices& wiring, const json& file) {
  const auto longest_deadline = core::longest_deadline(wiring.settings());
  if (const auto config = raft::parse_config(file, wiring.name, longest_deadline))
    return std::make_unique<ClusterMember>(wiring, *config, control::read_node_config(file, *config));
  if (const auto config = control::read_invoker_config(file, longest_deadline))
    return std::make_unique<SessionInvoker>(wiring, *config);
  return nullptr;
}

}  // namespace lotusyard::node
