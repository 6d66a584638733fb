#include "raft/raft_replica.h"

#include <algorithm>

#include "config/config.h"
#include "raft/message_codec.h"

namespace lotusyard::raft {
namespace {

constexpr std::size_t kMaxLoggedNameBytes = 40;

Hello hello_of(const Config& config, const Identity& identity) {
  Hello out;
  out.cluster = config.cluster;
  out.member = config.member;
  out.from = identity.id;
  out.lease = config.terms.lease.count();
  out.drift = config.terms.clock_drift;
  out.last_call = config.terms.max_attempt_time.count();
  return out;
}

}  // namespace

void RaftReplica::bootstrap(const Config& config) {
  LogStore store(config.store);
  if (!store.is_empty()) {
    throw LogStoreError("the group's store: " + config.store + ": begun already");
  }
  std::vector<RaftCore::Server> servers;
  Identity own{config.cluster, config.member, 0, 0};
  for (const auto& member : config.members) {
    // All founding members number the same list, from 1.
    const std::uint64_t id = servers.size() + 1;
    servers.push_back({id, member.address, member.votes ? RAFT_VOTER : RAFT_STANDBY});
    if (member.name == config.member) {
      own.id = id;
    }
  }
  if (own.id == 0) {
    throw LogStoreError("the group's store: " + config.member + " is not one of group.members: it joins");
  }
  store.initialize(own);
  RaftCore::bootstrap(store, servers);
}

RaftReplica::RaftReplica(net::EventLoop& loop, core::Counters& counters, const Config& config,
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
          loop, counters, hello_of(config_, identity_),
          [this](const Hello& from, Frame&& frame) { receive(from, std::move(frame)); }, log_) {
  if (!store_.is_empty()) {
    open_identity();
  }
  if (!transport_.listen(config_.listen)) {
    throw config::ConfigError("configuration: group.listen: cannot listen on " + config_.listen);
  }
  if (!store_.is_empty()) {
    start_raft();
  } else {
    log_("there is no store: asks to be let in under another id");
    request_admission();
  }
}

void RaftReplica::open_identity() {
  if (identity_.cluster != config_.cluster) {
    throw config::ConfigError("configuration: group.cluster: the store is of group " + identity_.cluster);
  }
  if (identity_.member != config_.member) {
    throw config::ConfigError("configuration: group.member: the store is of member " + identity_.member);
  }
  identity_.incarnation = store_.begin_next_incarnation();
}

RaftReplica::~RaftReplica() {
  loop_.cancel(admission_timer_);
  raft_core_.reset();
}

void RaftReplica::start_raft() {
  raft_core_ = std::make_unique<RaftCore>(scheduler_, store_, static_cast<RaftCore::Delegate&>(*this),
                                          identity_.id, config_.address, config_.election_timeout);
}

std::uint64_t RaftReplica::begin_new_incarnation(std::uint64_t above) {
  identity_.incarnation = store_.begin_next_incarnation();
  if (identity_.incarnation > above) {
    return identity_.incarnation;
  }
  identity_.incarnation = above + 1;
  store_.initialize(identity_);
  return identity_.incarnation;
}

std::size_t RaftReplica::stored_bytes() const {
  try {
    return store_.size_bytes();
  } catch (const LogStoreError&) {
    counters_.add("group.store_unread");
    return 0;
  }
}

bool RaftReplica::propose(const ReplicatedStateMachine& state_machine, const std::string& entry,
                          RaftCore::Completion done) {
  return raft_core_ && raft_core_->propose(tag_entry(state_machine.name(), entry), std::move(done));
}

bool RaftReplica::send_gossip(const std::string& address, const std::string& body) {
  return transport_.send(0, address, Frame::Kind::gossip, body);
}

ReplicatedStateMachine* RaftReplica::find_state_machine(const std::string& name) const {
  const auto is_same = [&](const ReplicatedStateMachine* state_machine) {
    return state_machine->name() == name;
  };
  const auto found = std::find_if(state_machines_.begin(), state_machines_.end(), is_same);
  return found == state_machines_.end() ? nullptr : *found;
}

// An entry of an unknown state machine is a failure, not skipped: this replica's state would differ from that
// of replicas whose program knows it.
void RaftReplica::apply(std::uint64_t index, const std::string& entry) {
  const auto [name, text] = untag_entry(entry);
  if (ReplicatedStateMachine* state_machine = find_state_machine(name)) {
    state_machine->apply(index, text);
    if (observer_ != nullptr) {
      observer_->log_applied(index);
    }
    return;
  }
  counters_.add("group.unknown_entries");
  on_store_failure(
      "entry " + std::to_string(index) +
      " of the log is of a kind that this program does not know: " + name.substr(0, kMaxLoggedNameBytes));
}

std::string RaftReplica::snapshot() {
  std::map<std::string, std::string> snapshots;
  for (ReplicatedStateMachine* state_machine : state_machines_) {
    snapshots.emplace(state_machine->name(), state_machine->snapshot());
  }
  return encode_snapshots(snapshots);
}

bool RaftReplica::restore(const std::string& snapshot) {
  const auto snapshots = decode_snapshots(snapshot);
  if (!snapshots) {
    return false;
  }
  for (const auto& [name, text] : *snapshots) {
    if (find_state_machine(name) == nullptr) {
      return false;
    }
  }
  for (ReplicatedStateMachine* state_machine : state_machines_) {
    const auto found = snapshots->find(state_machine->name());
    if (!state_machine->restore(found == snapshots->end() ? std::string() : found->second)) {
      return false;
    }
  }
  if (observer_ != nullptr) {
    observer_->log_restored();
  }
  return true;
}

void RaftReplica::receive(const Hello& from, Frame&& frame) {
  if (frame.kind == Frame::Kind::message) {
    handle_message(from, frame.body);
  } else if (frame.kind == Frame::Kind::consensus) {
    receive_consensus(from, frame.body);
  } else if (frame.kind == Frame::Kind::gossip && gossip_handler_) {
    gossip_handler_(from.member, frame.body);
  }
}

void RaftReplica::receive_consensus(const Hello& from, const std::string& body) {
  auto message = decode_message(body);
  if (!message) {
    counters_.add("group.malformed");
    return;
  }
  const std::string address = find_address(from);
  if (address.empty() || from.to != identity_.id) {
    counters_.add("group.strangers");
    free_message(*message);
    return;
  }
  raft_core_->receive(from.from, address, std::move(*message));
}

// Returns an empty string if the sender is not known or this replica takes no part in the group.
std::string RaftReplica::find_address(const Hello& from) const {
  if (!raft_core_ || raft_core_->has_failed()) {
    return {};
  }
  for (const auto& server : raft_core_->servers()) {
    if (server.id == from.from && !server.address.empty()) {
      return server.address;
    }
  }
  // A new member has no configuration before the first entries that it is sent; it knows the founding
  // members.
  for (const auto& peer : config_.members) {
    if (peer.name == from.member) {
      return peer.address;
    }
  }
  return {};
}

void RaftReplica::send(std::uint64_t to, const std::string& address, const raft_message& message) {
  transport_.send(to, address, Frame::Kind::consensus, encode_message(message));
}

void RaftReplica::on_store_failure(const std::string& reason) {
  counters_.add("group.failed");
  log_(reason + ": takes no part any more");
  for (ReplicatedStateMachine* state_machine : state_machines_) {
    state_machine->on_store_failure(reason);
  }
}

// The state machines are not notified: nothing is applied while the replica is unavailable, and leases
// expire.
void RaftReplica::on_store_unavailable(sqlite::ResultKind kind, const std::string& reason) {
  counters_.add(std::string("group.store_") + sqlite::name_of(kind));
  log_(reason + ": takes no part until the store takes writes again");
}

void RaftReplica::on_store_available() {
  counters_.add("group.store_recovered");
  log_("the store takes writes again: takes part");
}

}  // namespace lotusyard::raft
