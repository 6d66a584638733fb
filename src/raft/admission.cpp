#include "raft/admission.h"

#include <algorithm>
#include <random>

#include "metrics/cluster_counters.h"
#include "raft/replica_message.h"

namespace lotusyard::raft {
namespace {

constexpr Millis kRetryInterval{500};
constexpr std::uint64_t kLowestAssignedId = 1ULL << 32;  // founding members have small ids

std::uint64_t make_id(const std::string& name) {
  return raft_digest(name.c_str(), std::random_device{}()) >> 1 | kLowestAssignedId;
}

}  // namespace

void AdmissionClient::request() {
  const auto& peer = config_.members[requests_++ % config_.members.size()];
  if (peer.name != config_.member) {
    const AdmissionRequest request{config_.member, config_.address};
    transport_.send(0, peer.address, Frame::Kind::message, encode_message(request));
  }
  retry_timer_ = loop_.schedule_at(loop_.now() + kRetryInterval, [this] { request(); });
}

void AdmissionServer::admit(RaftCore& core, std::uint64_t own_id, const std::string& name,
                            const std::string& address) {
  if (!core.is_leader() || change_active_) {
    return;
  }
  for (const auto& server : core.servers()) {
    if (server.address == address) {
      admit_known(core, own_id, name, server);
      return;
    }
  }
  const std::uint64_t id = make_id(name);
  log_("member " + name + " at " + address + " is admitted as " + std::to_string(id));
  change_active_ = core.add({id, address, RAFT_SPARE}, [this](bool) { change_active_ = false; });
}

// If the server has no role yet, it gets one. Otherwise the member has lost its store and must get a new id,
// and the old one is removed: an id that has voted or acknowledged entries must not be used again by a member
// that does not remember them.
void AdmissionServer::admit_known(RaftCore& core, std::uint64_t own_id, const std::string& name,
                                  const RaftCore::Server& server) {
  if (server.role == RAFT_SPARE) {
    assign_role(core, server, role_of(name));
    return;
  }
  if (server.id == own_id) {
    return;
  }
  counters_.add(metrics::kGroupIdsEnded);
  log_("member " + name + " has lost its store: id " + std::to_string(server.id) + " ends");
  change_active_ = core.remove(server.id, [this](bool) { change_active_ = false; });
}

int AdmissionServer::role_of(const std::string& name) const {
  const auto is_same = [&](const PeerAddress& peer) { return peer.name == name; };
  const auto peer = std::find_if(config_.members.begin(), config_.members.end(), is_same);
  const bool votes = peer != config_.members.end() && peer->votes;
  return votes ? RAFT_VOTER : RAFT_STANDBY;
}

// The member is sent its id first, because only then does it accept messages of the consensus. A voter
// replicates the log as a standby before it votes.
void AdmissionServer::assign_role(RaftCore& core, const RaftCore::Server& server, int role) {
  const AdmissionResponse response{std::to_string(server.id)};
  transport_.send(0, server.address, Frame::Kind::message, encode_message(response));
  change_active_ = core.assign(server.id, RAFT_STANDBY, [this, &core, id = server.id, role](bool committed) {
    change_active_ = false;
    if (committed && role == RAFT_VOTER) {
      change_active_ = core.assign(id, RAFT_VOTER, [this](bool) { change_active_ = false; });
    }
  });
}

}  // namespace lotusyard::raft
