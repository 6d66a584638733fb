// Messages among replicas, and the admission of members without a store: such a member asks the members that
// it knows, and the leader adds it to the group under a new id.
#include <algorithm>
#include <random>

#include "raft/raft_replica.h"

namespace lotusyard::raft {
namespace {

using nlohmann::json;

constexpr Millis kAdmissionRetryInterval{500};

// The first byte of a frame of the kind `message` tells what follows it.
constexpr char kMessageToLeader = 't';    // a tagged message of a state machine
constexpr char kAdmissionRequest = 'j';   // a JSON object with the name and address of the sender
constexpr char kAdmissionResponse = 'i';  // the id assigned to the receiver, in decimal digits
constexpr std::size_t kMaxIdDigits = 20;
constexpr std::uint64_t kLowestAssignedId = 1ULL << 32;  // founding members have small ids

bool is_id(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdDigits &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

std::uint64_t make_id(const std::string& name) {
  return raft_digest(name.c_str(), std::random_device{}()) >> 1 | kLowestAssignedId;
}

}  // namespace

bool RaftReplica::send_to_leader(const ReplicatedStateMachine& state_machine, const std::string& message) {
  if (!raft_core_) {
    return false;
  }
  if (raft_core_->is_leader()) {
    ReplicatedStateMachine* receiver = find_state_machine(state_machine.name());
    loop_.schedule_at(loop_.now(), [receiver, message] { receiver->handle_message(message); });
    return true;
  }
  const auto leader = raft_core_->leader();
  if (leader.id == 0) {
    return false;
  }
  const std::string body = kMessageToLeader + tag_entry(state_machine.name(), message);
  return transport_.send(leader.id, leader.address, Frame::Kind::message, body);
}

void RaftReplica::handle_message(const Hello& from, const std::string& body) {
  if (body.empty()) {
    return;
  }
  const std::string content = body.substr(1);
  switch (body[0]) {
    case kMessageToLeader:
      if (is_leader()) {
        handle_leader_message(content);
      }
      break;
    case kAdmissionRequest:
      handle_admission_message(from, content);
      break;
    case kAdmissionResponse:
      handle_assigned_id(content);
      break;
    default:
      break;
  }
}

void RaftReplica::handle_leader_message(const std::string& body) {
  const auto [name, message] = untag_entry(body);
  ReplicatedStateMachine* state_machine = find_state_machine(name);
  if (state_machine == nullptr) {
    counters_.add("group.malformed");
    return;
  }
  state_machine->handle_message(message);
}

void RaftReplica::handle_admission_message(const Hello& from, const std::string& body) {
  const auto request = json::parse(body, nullptr, false);
  if (!request.is_object()) {
    counters_.add("group.malformed");
    return;
  }
  const auto name = request.value("name", json());
  const auto address = request.value("address", json());
  if (!name.is_string() || !address.is_string()) {
    return;
  }
  const auto address_text = address.get<std::string>();
  if (net::valid_address(address_text) && name.get<std::string>() == from.member) {
    admit(from.member, address_text);
  }
}

// A member without a store asks the members that it knows in turn; only the leader responds.
void RaftReplica::request_admission() {
  if (raft_core_) {
    return;
  }
  const auto& peer = config_.members[admission_requests_++ % config_.members.size()];
  if (peer.name != config_.member) {
    const json request = {{"name", config_.member}, {"address", config_.address}};
    transport_.send(0, peer.address, Frame::Kind::message, kAdmissionRequest + request.dump());
  }
  admission_timer_ =
      loop_.schedule_at(loop_.now() + kAdmissionRetryInterval, [this] { request_admission(); });
}

// One change of the configuration at a time; the new member repeats its request.
void RaftReplica::admit(const std::string& name, const std::string& address) {
  if (!is_leader() || membership_change_active_) {
    return;
  }
  for (const auto& server : raft_core_->servers()) {
    if (server.address == address) {
      admit_again(name, server);
      return;
    }
  }
  const std::uint64_t id = make_id(name);
  log_("member " + name + " at " + address + " is let in as " + std::to_string(id));
  membership_change_active_ =
      raft_core_->add({id, address, RAFT_SPARE}, [this](bool) { membership_change_active_ = false; });
}

// The member is a server already. If it has no role yet, it gets one. Otherwise it has lost its store and
// must get a new id, and the old one is removed: an id that has voted or acknowledged entries must not be
// used again by a member that does not remember them.
void RaftReplica::admit_again(const std::string& name, const RaftCore::Server& server) {
  if (server.role == RAFT_SPARE) {
    const auto is_same = [&](const PeerAddress& peer) { return peer.name == name; };
    const auto peer = std::find_if(config_.members.begin(), config_.members.end(), is_same);
    const bool votes = peer != config_.members.end() && peer->votes;
    assign_role(server.id, server.address, votes ? RAFT_VOTER : RAFT_STANDBY);
    return;
  }
  if (server.id == identity_.id) {
    return;
  }
  counters_.add("group.ids_ended");
  log_("member " + name + " has lost its store: id " + std::to_string(server.id) + " ends");
  membership_change_active_ =
      raft_core_->remove(server.id, [this](bool) { membership_change_active_ = false; });
}

// The member is sent its id first, because only then it accepts messages of the consensus. A voter replicates
// the log as a standby before it votes.
void RaftReplica::assign_role(std::uint64_t id, const std::string& address, int role) {
  transport_.send(0, address, Frame::Kind::message, kAdmissionResponse + std::to_string(id));
  const int first_role = role == RAFT_VOTER ? RAFT_STANDBY : role;
  membership_change_active_ = raft_core_->assign(id, first_role, [this, id, role](bool committed) {
    membership_change_active_ = false;
    if (committed && role == RAFT_VOTER) {
      membership_change_active_ =
          raft_core_->assign(id, RAFT_VOTER, [this](bool) { membership_change_active_ = false; });
    }
  });
}

void RaftReplica::handle_assigned_id(const std::string& body) {
  if (raft_core_ || !is_id(body)) {
    return;
  }
  const Identity previous = identity_;
  try {
    join(std::stoull(body));
    log_("is in as " + body);
  } catch (const LogStoreError& error) {
    if (!error.transient()) {
      on_store_failure(error.what());
      return;
    }
    on_store_unavailable(error.kind, error.what());
    identity_ = previous;  // it asks again and is sent its id again
  } catch (const std::exception& error) {
    on_store_failure(error.what());
  }
}

void RaftReplica::join(std::uint64_t id) {
  identity_ = {config_.cluster, config_.member, id, 1};
  // The clock makes it larger than any incarnation that an earlier store of this member has reached. If the
  // clock was set back since, the log shows it, and a larger one is begun before this member takes part
  // (see MaintenanceReplica).
  identity_.incarnation = static_cast<std::uint64_t>(loop_.now().count());
  store_.initialize(identity_);
  transport_.set_own_id(identity_.id);
  loop_.cancel(admission_timer_);
  start_raft();
}

}  // namespace lotusyard::raft
