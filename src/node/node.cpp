#include "node/node.h"

#include <cmath>

#include "node/lines.h"
#include "node/session_member.h"

namespace lotusyard::node {
namespace {

using nlohmann::json;

const char* role_name(int role) {
  return role == RAFT_VOTER ? "votes" : role == RAFT_STANDBY ? "learns" : "waits";
}

}  // namespace

Node::Node(const Wiring& wiring, const group::Config& config,
           const std::optional<control::NodeConfig>& control)
    : wiring_(wiring),
      config_(config),
      lease_(config.terms, wiring.loop.now()),
      coordinator_(wiring, config_, lease_, [this](const std::string& text) { note("works", text); }),
      sharing_(sharing_wiring(), config_, coordinator_,
               [this](const std::string& text) { note("shares", text); }),
      officer_(wiring, config_, coordinator_, [this](const std::string& text) { note("compliance", text); }),
      member_(wiring.loop, wiring.counters, config_, {&coordinator_, &sharing_, &officer_},
              [this](const std::string& text) { note("works", text); }) {
  built_ = true;
  coordinator_.attach(member_);
  officer_.attach(member_);
  coordinator_.when_changed([this] { follow(); });
  if (control) {
    control_.emplace(wiring, config_, *control, member_, coordinator_, officer_, lease_,
                     [this](const std::string& text) { note("control", text); });
    follow();
  }
  if (config_.view) {
    viewer_.emplace(
        wiring, config_, member_, [this](const std::string& host) { return coordinator_.sees_down(host); },
        [this](const std::string& text) { note("view", text); });
    sharing_.attach(member_);
    viewer_->when_changed([this] { follow(); });
  }
  note("works",
       "life=" + std::to_string(member_.life()) + " starts" + (config.serves ? "" : ", serves no calls"));
}

void Node::note(const std::string& part, const std::string& text) const {
  write_line(part, wiring_.loop.now(), config_.member,
             "term=" + std::to_string(built_ ? member_.term() : 0) +
                 " index=" + std::to_string(coordinator_.board().index()) + ' ' + text);
}

// Parts and standing hang on the lease, on the log and on the view.
void Node::follow() {
  officer_.update();
  if (control_) control_->follow();
  if (!viewer_) return;
  if (coordinator_.ready() && config_.serves) viewer_->serve();
  sharing_.update(viewer_->seen());
}

// The member's part of what all may send a cold host goes to its sessions where it has any.
Wiring Node::sharing_wiring() {
  Wiring out = wiring_;
  out.set_share = [this](double share) {
    if (control_) return control_->set_share(share);
    wiring_.set_share(share);
  };
  return out;
}

void Node::drain() {
  if (viewer_) viewer_->leave();
  if (control_) control_->leave();
}

// Asked by the module for each host that it considers. List, hand and works have had their say before: what
// they leave out is no host to the module.
bool Node::open(const std::string& tenant, std::uint64_t function, const std::string& host) {
  return officer_.enforcer().considers(tenant, function, host);
}

bool Node::may_send(const std::string& host, const core::Call* call, std::uint64_t function) {
  return coordinator_.may_send(host) && officer_.enforcer().may_send(host, call, function);
}

void Node::attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) {
  coordinator_.attempt_ended(host, call, outcome);
}

std::optional<console::Said> Node::asked(const console::Request& request) {
  if (request.path == "/-/group")
    return request.method == "GET" ? console::Said{200, show_group().dump()} : console::Said{405, "GET"};
  if (request.path == "/-/view" && viewer_) {
    if (request.method != "GET") return console::Said{405, "GET"};
    nlohmann::json shown = viewer_->shown();
    shown["part"] = sharing_.part();
    shown["sharers"] = sharing_.epochs().now();
    return console::Said{200, shown.dump()};
  }
  if (auto said = officer_.asked(request)) return said;
  return coordinator_.asked(request);
}

json Node::show_group() const {
  const auto& board = coordinator_.board();
  json members = json::object(), servers = json::array();
  for (const auto& [id, m] : board.members()) {
    members[id] = {{"life", m.life},
                   {"follows", m.has},
                   {"silent_ms", std::round((wiring_.loop.now() - m.seen).count())},
                   {"listed", m.view.listed},
                   {"down", m.view.down}};
  }
  for (const auto& s : member_.servers())
    servers.push_back({{"id", s.id}, {"address", s.address}, {"role", role_name(s.role)}});
  json out = {{"member", config_.member},
              {"id", member_.id()},
              {"life", member_.life()},
              {"term", member_.term()},
              {"leader", member_.leader()},
              {"leads", member_.leads()},
              {"index", board.index()},
              {"lease_ms", std::max(0.0, std::round((lease_.until() - wiring_.loop.now()).count()))},
              {"failed", coordinator_.has_failed()},
              {"store_bytes", member_.stored()},
              {"servers", servers},
              {"members", members}};
  if (control_) out["control"] = control_->shown();
  return out;
}

std::unique_ptr<Companion> make_node(const Wiring& wiring, const json& file) {
  const auto longest_deadline = core::longest_deadline(wiring.settings());
  if (const auto config = group::read_config(file, wiring.name, longest_deadline))
    return std::make_unique<Node>(wiring, *config, control::read_node_config(file, *config));
  if (const auto config = control::read_invoker_config(file, longest_deadline))
    return std::make_unique<SessionMember>(wiring, *config);
  return nullptr;
}

}  // namespace lotusyard::node
