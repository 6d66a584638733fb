#include "node/cluster_member.h"

#include <algorithm>
#include <cmath>

#include "node/event_log.h"
#include "node/session_invoker.h"

namespace lotusyard::node {
namespace {

using nlohmann::json;

// Names of Raft roles in the admin endpoint's JSON.
const char* role_name(int role) {
  if (role == RAFT_VOTER)
    return "votes";
  return role == RAFT_STANDBY ? "learns" : "waits";
}

bool is_get(const admin::Request& request) { return request.method == "GET"; }

admin::Response method_not_allowed() { return {405, "GET"}; }

}  // namespace

ClusterMember::ClusterMember(const InvokerServices& services, const raft::Config& config,
                             const std::optional<control::NodeConfig>& control)
    : services_(services),
      config_(config),
      lease_(config.terms, services.loop.now()),
      maintenance_(services, config_, lease_, event_sink("works")),
      quota_(quota_services(), config_, maintenance_, event_sink("shares")),
      compliance_(services, config_, maintenance_, event_sink("compliance")),
      replica_(services.loop, services.counters, config_, {&maintenance_, &quota_, &compliance_},
               event_sink("works")) {
  constructed_ = true;
  maintenance_.attach(replica_);
  compliance_.attach(replica_);
  maintenance_.set_change_handler([this] { update_lease(); });
  if (control)
    start_control_role(*control);
  if (config_.view)
    start_gossip();
  const std::string incarnation = std::to_string(replica_.incarnation());
  log_event("works", "life=" + incarnation + " starts" + (config.serves ? "" : ", serves no calls"));
}

void ClusterMember::start_control_role(const control::NodeConfig& control) {
  control_role_.emplace(services_, config_, control, replica_, maintenance_, compliance_, lease_,
                        event_sink("control"));
  update_lease();
}

void ClusterMember::start_gossip() {
  const auto detects_failure = [this](const std::string& host) { return maintenance_.detects_failure(host); };
  gossip_.emplace(services_, config_, replica_, detects_failure, event_sink("view"));
  quota_.attach(replica_);
  gossip_->set_change_handler([this] { update_lease(); });
}

std::function<void(const std::string& text)> ClusterMember::event_sink(const std::string& component) const {
  return [this, component](const std::string& text) { log_event(component, text); };
}

void ClusterMember::log_event(const std::string& component, const std::string& text) const {
  const std::uint64_t term = constructed_ ? replica_.term() : 0;
  const std::uint64_t index = maintenance_.state().index();
  write_event(component, services_.loop.now(), config_.member,
              "term=" + std::to_string(term) + " index=" + std::to_string(index) + ' ' + text);
}

// Certificates, the sessions' leases, the gossip status and the share depend on the lease, the log and
// gossip.
void ClusterMember::update_lease() {
  compliance_.update();
  if (control_role_)
    control_role_->update_lease();
  if (!gossip_)
    return;
  if (maintenance_.ready() && config_.serves)
    gossip_->serve();
  quota_.update(gossip_->present_members());
}

InvokerServices ClusterMember::quota_services() {
  InvokerServices services = services_;
  services.set_share = [this](double share) { set_share(share); };
  return services;
}

// A control node divides its share among its sessions.
void ClusterMember::set_share(double share) {
  if (control_role_) {
    control_role_->set_share(share);
  } else {
    services_.set_share(share);
  }
}

void ClusterMember::drain() {
  if (gossip_)
    gossip_->leave();
  if (control_role_)
    control_role_->shut_down();
}

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
  if (request.path == "/-/group") {
    return is_get(request) ? admin::Response{200, group_to_json().dump()} : method_not_allowed();
  }
  if (request.path == "/-/view" && gossip_)
    return is_get(request) ? view_response() : method_not_allowed();
  if (auto response = compliance_.handle_request(request))
    return response;
  return maintenance_.handle_request(request);
}

admin::Response ClusterMember::view_response() const {
  json view = gossip_->status_to_json();
  view["part"] = quota_.share();
  view["sharers"] = quota_.epochs().current_holders();
  return {200, view.dump()};
}

json ClusterMember::members_to_json() const {
  const maintenance::Millis now = services_.loop.now();
  json members = json::object();
  for (const auto& [id, member] : maintenance_.state().members()) {
    members[id] = {{"life", member.incarnation},
                   {"follows", member.applied_index},
                   {"silent_ms", std::round((now - member.last_heartbeat_at).count())},
                   {"listed", member.observations.listed_hosts},
                   {"down", member.observations.down}};
  }
  return members;
}

json ClusterMember::servers_to_json() const {
  json servers = json::array();
  for (const auto& server : replica_.servers()) {
    servers.push_back({{"id", server.id}, {"address", server.address}, {"role", role_name(server.role)}});
  }
  return servers;
}

json ClusterMember::group_to_json() const {
  const double lease_ms = std::round((lease_.expires_at() - services_.loop.now()).count());
  json group = {{"member", config_.member},
                {"id", replica_.id()},
                {"life", replica_.incarnation()},
                {"term", replica_.term()},
                {"leader", replica_.leader()},
                {"leads", replica_.is_leader()},
                {"index", maintenance_.state().index()},
                {"lease_ms", std::max(0.0, lease_ms)},
                {"failed", maintenance_.has_failed()},
                {"store_bytes", replica_.stored_bytes()},
                {"servers", servers_to_json()},
                {"members", members_to_json()}};
  if (control_role_)
    group["control"] = control_role_->status_to_json();
  return group;
}

std::unique_ptr<InvokerExtension> make_extension(const InvokerServices& services, const json& file) {
  const auto max_deadline = core::longest_deadline(services.settings());
  if (const auto config = raft::parse_config(file, services.name, max_deadline)) {
    return std::make_unique<ClusterMember>(services, *config, control::read_node_config(file, *config));
  }
  if (const auto config = control::read_invoker_config(file, max_deadline)) {
    return std::make_unique<SessionInvoker>(services, *config);
  }
  return nullptr;
}

}  // namespace lotusyard::node
