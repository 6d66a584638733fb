#include "raft/raft_replica.h"

#include <algorithm>

#include "config/config.h"
#include "raft/message_codec.h"

namespace lotusyard::raft {
namespace {

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
  if (!store.is_empty()) throw LogStoreError("the group's store: " + config.store + ": begun already");
  std::vector<RaftCore::Server> servers;
  Identity mine{config.cluster, config.member, 0, 0};
  for (std::size_t i = 0; i < config.members.size(); ++i) {
    const auto& peer = config.members[i];
    servers.push_back({i + 1, peer.address, peer.votes ? RAFT_VOTER : RAFT_STANDBY});
    if (peer.name == config.member) mine.id = i + 1;
  }
  if (mine.id == 0)
    throw LogStoreError("the group's store: " + config.member + " is not one of group.members: it joins");
  store.initialize(mine);
  RaftCore::bootstrap(store, servers);
}

RaftReplica::RaftReplica(net::EventLoop& loop, core::Counters& counters, const Config& config,
                         std::vector<ReplicatedStateMachine*> parts, LogSink note)
    : loop_(loop),
      counters_(counters),
      config_(config),
      state_machines_(std::move(parts)),
      log_(std::move(note)),
      scheduler_(loop),
      store_(config_.store),
      identity_(store_.identity()),
      transport_(
          loop, counters, hello_of(config_, identity_),
          [this](const Hello& from, Frame&& frame) { receive(from, std::move(frame)); }, log_) {
  if (!store_.is_empty()) {
    if (identity_.cluster != config_.cluster)
      throw config::ConfigError("configuration: group.cluster: the store is of group " + identity_.cluster);
    if (identity_.member != config_.member)
      throw config::ConfigError("configuration: group.member: the store is of member " + identity_.member);
    identity_.incarnation = store_.begin_next_incarnation();
  }
  if (!transport_.listen(config_.listen))
    throw config::ConfigError("configuration: group.listen: cannot listen on " + config_.listen);
  if (!store_.is_empty()) {
    start_raft();
  } else {
    log_("there is no store: asks to be let in under another id");
    request_admission();
  }
}

RaftReplica::~RaftReplica() {
  loop_.cancel(admission_timer_);
  raft_core_.reset();
}

void RaftReplica::start_raft() {
  raft_core_ = std::make_unique<RaftCore>(scheduler_, store_, static_cast<RaftCore::Delegate&>(*this),
                                          identity_.id, config_.address, config_.election);
}

std::uint64_t RaftReplica::begin_new_incarnation(std::uint64_t above) {
  identity_.incarnation = store_.begin_next_incarnation();
  if (identity_.incarnation > above) return identity_.incarnation;
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

std::vector<RaftCore::Server> RaftReplica::servers() const {
  return raft_core_ ? raft_core_->servers() : std::vector<RaftCore::Server>();
}

bool RaftReplica::propose(const ReplicatedStateMachine& part, const std::string& entry,
                          std::function<void(bool)> done) {
  return raft_core_ && raft_core_->propose(tag_entry(part.name(), entry), std::move(done));
}

bool RaftReplica::send_to_leader(const ReplicatedStateMachine& part, const std::string& word) {
  if (!raft_core_) return false;
  if (raft_core_->is_leader()) {
    loop_.schedule_at(loop_.now(),
                      [to = find_state_machine(part.name()), word] { to->handle_message(word); });
    return true;
  }
  const auto leader = raft_core_->leader();
  return leader.id != 0 &&
         transport_.send(leader.id, leader.address, Frame::Kind::message, "t" + tag_entry(part.name(), word));
}

bool RaftReplica::send_gossip(const std::string& address, const std::string& body) {
  return transport_.send(0, address, Frame::Kind::gossip, body);
}

ReplicatedStateMachine* RaftReplica::find_state_machine(const std::string& kind) const {
  const auto same = [&](const ReplicatedStateMachine* part) { return part->name() == kind; };
  const auto found = std::find_if(state_machines_.begin(), state_machines_.end(), same);
  return found == state_machines_.end() ? nullptr : *found;
}

// Danger: an entry that is skipped leaves this member with another state than those that know its kind.
void RaftReplica::apply(std::uint64_t index, const std::string& entry) {
  const auto [kind, text] = untag_entry(entry);
  if (ReplicatedStateMachine* part = find_state_machine(kind)) {
    part->apply(index, text);
    if (observer_ != nullptr) observer_->log_applied(index);
    return;
  }
  counters_.add("group.unknown_entries");
  on_store_failure("entry " + std::to_string(index) +
                   " of the log is of a kind that this program does not know: " + kind.substr(0, 40));
}

std::string RaftReplica::snapshot() {
  std::map<std::string, std::string> out;
  for (ReplicatedStateMachine* part : state_machines_) out.emplace(part->name(), part->snapshot());
  return encode_snapshots(out);
}

bool RaftReplica::restore(const std::string& snapshot) {
  const auto read = decode_snapshots(snapshot);
  if (!read) return false;
  for (const auto& [kind, text] : *read) {
    if (find_state_machine(kind) == nullptr) return false;
  }
  const bool restored =
      std::all_of(state_machines_.begin(), state_machines_.end(), [&](ReplicatedStateMachine* part) {
        const auto found = read->find(part->name());
        return part->restore(found == read->end() ? std::string() : found->second);
      });
  if (restored && observer_ != nullptr) observer_->log_restored();
  return restored;
}

void RaftReplica::receive(const Hello& from, Frame&& frame) {
  if (frame.kind == Frame::Kind::message) return handle_message(from, frame.body);
  if (frame.kind == Frame::Kind::gossip)
    return gossip_handler_ ? gossip_handler_(from.member, frame.body) : void();
  auto message = decode_message(frame.body);
  if (!message) {
    counters_.add("group.malformed");
    return;
  }
  std::string address;
  if (raft_core_ && !raft_core_->has_failed()) {
    for (const auto& s : raft_core_->servers()) {
      if (s.id == from.from) address = s.address;
    }
    // Who is new does not know the others yet; what it is sent tells.
    if (address.empty()) {
      for (const auto& peer : config_.members) {
        if (peer.name == from.member) address = peer.address;
      }
    }
  }
  if (address.empty() || from.to != identity_.id) {
    counters_.add("group.strangers");
    return give_back(*message);
  }
  raft_core_->receive(from.from, address, std::move(*message));
}

void RaftReplica::send(std::uint64_t to, const std::string& address, const raft_message& message) {
  transport_.send(to, address, Frame::Kind::consensus, encode_hello(message));
}

void RaftReplica::on_store_failure(const std::string& why) {
  counters_.add("group.failed");
  log_(why + ": takes no part any more");
  for (ReplicatedStateMachine* part : state_machines_) part->on_store_failure(why);
}

// The parts are not told: without a replica that takes part nothing is applied here, and leases run out.
void RaftReplica::unavailable(sqlite::ResultKind kind, const std::string& why) {
  counters_.add(std::string("group.store_") + sqlite::name_of(kind));
  log_(why + ": takes no part until the store takes writes again");
}

void RaftReplica::available() {
  counters_.add("group.store_recovered");
  log_("the store takes writes again: takes part");
}

}  // namespace lotusyard::raft
