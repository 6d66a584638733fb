// How a member without a store comes into a group: it asks, and whoever leads gives it an id and a place.
#include <algorithm>
#include <random>

#include "raft/raft_replica.h"

namespace lotusyard::raft {
namespace {

using nlohmann::json;

constexpr Millis kAskPace{500};  // how often one that is not in asks to be let in

}  // namespace

// One without a store asks each it knows of in turn; whoever leads answers with an id.
void RaftReplica::request_admission() {
  if (raft_core_) return;
  const auto& peer = config_.members[admission_requests_++ % config_.members.size()];
  if (peer.name != config_.member) {
    const json word = {{"name", config_.member}, {"address", config_.address}};
    transport_.send(0, peer.address, Frame::Kind::message, "j" + word.dump());
  }
  admission_timer_ = loop_.schedule_at(loop_.now() + kAskPace, [this] { request_admission(); });
}

// A member that has lost its store comes under a new id, and its old one leaves: an id that promised once
// never speaks again without knowing what it promised. One change at a time; the asker asks again.
void RaftReplica::handle_admission_request(const std::string& name, const std::string& address) {
  if (!is_leader() || changing_) return;
  const auto done = [this](bool) { changing_ = false; };
  for (const auto& s : raft_core_->servers()) {
    if (s.address != address) continue;
    const auto same = [&](const PeerAddress& p) { return p.name == name; };
    if (s.role == RAFT_SPARE) {  // let in before, and without a place yet
      const auto peer = std::find_if(config_.members.begin(), config_.members.end(), same);
      const bool votes = peer != config_.members.end() && peer->votes;
      return assign_role(s.id, address, votes ? RAFT_VOTER : RAFT_STANDBY);
    }
    if (s.id == identity_.id) return;
    counters_.add("group.ids_ended");
    log_("member " + name + " has lost its store: id " + std::to_string(s.id) + " ends");
    changing_ = raft_core_->remove(s.id, done);
    return;
  }
  const std::uint64_t id = raft_digest(name.c_str(), std::random_device{}()) >> 1 | 1ULL << 32;
  log_("member " + name + " at " + address + " is let in as " + std::to_string(id));
  changing_ = raft_core_->add({id, address, RAFT_SPARE}, done);
}

// It hears of its id first: from then on it listens to the consensus.
void RaftReplica::assign_role(std::uint64_t id, const std::string& address, int role) {
  transport_.send(0, address, Frame::Kind::message, "i" + std::to_string(id));
  changing_ = raft_core_->assign(id, role == RAFT_VOTER ? RAFT_STANDBY : role, [this, id, role](bool done) {
    changing_ = false;
    if (done && role == RAFT_VOTER)
      changing_ = raft_core_->assign(id, RAFT_VOTER, [this](bool) { changing_ = false; });
  });
}

void RaftReplica::handle_message(const Hello& from, const std::string& body) {
  if (body.empty()) return;
  const std::string rest = body.substr(1);
  if (body[0] == 't' && is_leader()) {
    const auto [kind, told] = untag_entry(rest);
    if (ReplicatedStateMachine* part = find_state_machine(kind)) return part->handle_message(told);
    return counters_.add("group.malformed");
  }
  if (body[0] == 'j') {
    const auto asks = json::parse(rest, nullptr, false);
    if (!asks.is_object()) return counters_.add("group.malformed");
    const auto name = asks.value("name", json()), address = asks.value("address", json());
    if (name.is_string() && address.is_string() && net::valid_address(address.get<std::string>()) &&
        name.get<std::string>() == from.member)
      handle_admission_request(name.get<std::string>(), address.get<std::string>());
    return;
  }
  if (body[0] != 'i' || raft_core_ || rest.empty() || rest.size() > 20 ||
      rest.find_first_not_of("0123456789") != std::string::npos)
    return;
  const Identity unnamed = identity_;
  try {
    identity_ = {config_.cluster, config_.member, std::stoull(rest), 1};
    // Larger than any that an earlier store of this member counted up to. If the clock was set back since,
    // the log tells, and a larger one is taken before the member joins (MaintenanceReplica::beat).
    identity_.incarnation = static_cast<std::uint64_t>(loop_.now().count());
    store_.initialize(identity_);
    transport_.set_own_id(identity_.id);
    loop_.cancel(admission_timer_);
    start_raft();
    log_("is in as " + rest);
  } catch (const LogStoreError& fault) {
    if (!fault.transient()) return on_store_failure(fault.what());
    unavailable(fault.kind, fault.what());
    identity_ = unnamed;  // it asks again, and is given its place again
  } catch (const std::exception& fault) { on_store_failure(fault.what()); }
}

}  // namespace lotusyard::raft
