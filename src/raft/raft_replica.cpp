#include "raft/raft_replica.h"

#include "config/config.h"
#include "metrics/cluster_counters.h"
#include "raft/message_codec.h"
#include "raft/replica_identity.h"

namespace lotusyard::raft {
namespace {

constexpr std::size_t kMaxLoggedNameBytes = 40;

}  // namespace

RaftReplica::RaftReplica(net::EventLoop& loop, metrics::Counters& counters, const Config& config,
                         std::vector<ReplicatedStateMachine*> state_machines, LogSink log)
    : loop_(loop),
      counters_(counters),
      config_(config),
      state_machines_(std::move(state_machines)),
      log_(std::move(log)),
      scheduler_(loop),
      store_(config_.store),
      identity_(store_.identity()),
      transport_(
          loop, counters, make_hello(config_, identity_),
          [this](const Hello& from, Frame&& frame) { receive(from, std::move(frame)); }, log_),
      admission_client_(loop, transport_, config_),
      admission_server_(transport_, counters, config_, log_) {
  if (!store_.is_empty()) {
    identity_ = open_identity(store_, config_);
  }
  if (!transport_.listen(config_.listen)) {
    throw config::ConfigError("configuration: group.listen: cannot listen on " + config_.listen);
  }
  if (!store_.is_empty()) {
    start_raft();
  } else {
    log_("there is no store: requests admission under another id");
    admission_client_.start();
  }
}

RaftReplica::~RaftReplica() {
  admission_client_.stop();
  raft_core_.reset();
}

void RaftReplica::start_raft() {
  raft_core_ = std::make_unique<RaftCore>(scheduler_, store_, static_cast<RaftCore::Delegate&>(*this),
                                          identity_.id, config_.address, config_.election_timeout);
}

std::uint64_t RaftReplica::begin_new_incarnation(std::uint64_t above) {
  begin_incarnation_above(store_, identity_, above);
  return identity_.incarnation;
}

std::size_t RaftReplica::stored_bytes() const {
  try {
    return store_.size_bytes();
  } catch (const LogStoreError&) {
    counters_.add(metrics::kGroupStoreUnread);
    return 0;
  }
}

bool RaftReplica::propose(const ReplicatedStateMachine& state_machine, const std::string& entry,
                          RaftCore::Completion done) {
  return raft_core_ && raft_core_->propose(tag_entry(state_machine.name(), entry), std::move(done));
}

bool RaftReplica::send_to_leader(const ReplicatedStateMachine& state_machine, const std::string& message) {
  if (!raft_core_) {
    return false;
  }
  if (raft_core_->is_leader()) {
    ReplicatedStateMachine* receiver = state_machines_.find(state_machine.name());
    loop_.schedule_at(loop_.now(), [receiver, message] { receiver->handle_message(message); });
    return true;
  }
  const auto leader = raft_core_->leader();
  if (leader.id == 0) {
    return false;
  }
  const LeaderMessage envelope{state_machine.name(), message};
  return transport_.send(leader.id, leader.address, Frame::Kind::message, encode_message(envelope));
}

bool RaftReplica::send_gossip(const std::string& address, const std::string& body) {
  return transport_.send(0, address, Frame::Kind::gossip, body);
}

// An entry of an unknown state machine is a failure, not skipped: this replica's state would differ from that
// of replicas whose program has that state machine.
void RaftReplica::apply(std::uint64_t index, const std::string& entry) {
  const auto [name, text] = untag_entry(entry);
  if (ReplicatedStateMachine* state_machine = state_machines_.find(name)) {
    state_machine->apply(index, text);
    if (observer_ != nullptr) {
      observer_->log_applied(index);
    }
    return;
  }
  counters_.add(metrics::kGroupUnknownEntries);
  on_store_failure(
      "entry " + std::to_string(index) +
      " of the log is of a kind that this program does not know: " + name.substr(0, kMaxLoggedNameBytes));
}

std::string RaftReplica::snapshot() { return state_machines_.snapshot(); }

bool RaftReplica::restore(const std::string& snapshot) {
  if (!state_machines_.restore(snapshot)) {
    return false;
  }
  if (observer_ != nullptr) {
    observer_->log_restored();
  }
  return true;
}

void RaftReplica::receive(const Hello& from, Frame&& frame) {
  if (frame.kind == Frame::Kind::message) {
    receive_message(from, frame.body);
  } else if (frame.kind == Frame::Kind::consensus) {
    receive_consensus(from, frame.body);
  } else if (frame.kind == Frame::Kind::gossip && gossip_handler_) {
    gossip_handler_(from.member, frame.body);
  }
}

void RaftReplica::receive_consensus(const Hello& from, const std::string& body) {
  auto message = decode_message(body);
  if (!message) {
    counters_.add(metrics::kGroupMalformed);
    return;
  }
  const std::string address = find_address(from);
  if (address.empty() || from.to != identity_.id) {
    counters_.add(metrics::kGroupStrangers);
    free_message(*message);
    return;
  }
  // NOLINTNEXTLINE(performance-move-const-arg): shows that the core now owns the message's buffers
  raft_core_->receive(from.from, address, std::move(*message));
}

// Returns an empty string if the sender is not known or this replica does not participate in the group.
std::string RaftReplica::find_address(const Hello& from) const {
  if (!raft_core_ || raft_core_->has_failed()) {
    return {};
  }
  for (const auto& server : raft_core_->servers()) {
    if (server.id == from.from && !server.address.empty()) {
      return server.address;
    }
  }
  // A new member has no configuration before it receives its first entries; until then it accepts the
  // founding members.
  for (const auto& peer : config_.members) {
    if (peer.name == from.member) {
      return peer.address;
    }
  }
  return {};
}

void RaftReplica::receive_message(const Hello& from, const std::string& body) {
  std::visit([&](const auto& message) { handle(from, message); }, decode_replica_message(body));
}

void RaftReplica::handle(const Hello& /*from*/, const LeaderMessage& message) {
  if (!is_leader()) {
    return;
  }
  if (ReplicatedStateMachine* state_machine = state_machines_.find(message.state_machine)) {
    state_machine->handle_message(message.text);
  } else {
    counters_.add(metrics::kGroupMalformed);
  }
}

void RaftReplica::handle(const Hello& from, const AdmissionRequest& request) {
  if (raft_core_ && request.name == from.member) {
    admission_server_.admit(*raft_core_, identity_.id, request.name, request.address);
  }
}

void RaftReplica::handle(const Hello& /*from*/, const AdmissionResponse& response) {
  if (raft_core_) {
    return;
  }
  const Identity previous = identity_;
  try {
    join(std::stoull(response.id));
    log_("joined the group as " + response.id);
  } catch (const LogStoreError& error) {
    if (!error.transient()) {
      on_store_failure(error.what());
      return;
    }
    on_store_unavailable(error.kind, error.what());
    identity_ = previous;  // the request is repeated, and the leader sends the id again
  } catch (const std::exception& error) {
    on_store_failure(error.what());
  }
}

void RaftReplica::handle(const Hello& /*from*/, MessageError error) {
  if (error == MessageError::malformed) {
    counters_.add(metrics::kGroupMalformed);
  }
}

void RaftReplica::join(std::uint64_t id) {
  identity_ = {config_.cluster, config_.member, id, 1};
  // The clock makes it larger than any incarnation that an earlier store of this member has reached. If the
  // clock was set back since, the log shows it, and this member begins a larger one before it participates
  // (see MaintenanceReplica).
  identity_.incarnation = static_cast<std::uint64_t>(loop_.now().count());
  store_.initialize(identity_);
  transport_.set_own_id(identity_.id);
  admission_client_.stop();
  start_raft();
}

void RaftReplica::send(std::uint64_t to, const std::string& address, const raft_message& message) {
  transport_.send(to, address, Frame::Kind::consensus, encode_message(message));
}

void RaftReplica::on_store_failure(const std::string& reason) {
  counters_.add(metrics::kGroupFailed);
  log_(reason + ": takes no part any more");
  state_machines_.on_store_failure(reason);
}

// The state machines are not notified: nothing is applied while the replica is unavailable, and leases
// expire.
void RaftReplica::on_store_unavailable(sqlite::ResultKind kind, const std::string& reason) {
  counters_.add(metrics::kGroupStore, sqlite::name_of(kind));
  log_(reason + ": takes no part until the store takes writes again");
}

void RaftReplica::on_store_available() {
  counters_.add(metrics::kGroupStoreRecovered);
  log_("the store takes writes again: takes part");
}

}  // namespace lotusyard::raft
