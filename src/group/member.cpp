#include "group/member.h"

#include <algorithm>

#include "config/config.h"
#include "group/raft_wire.h"

namespace lotusyard::group {
namespace {

Hello hello_of(const Config& config, const Identity& identity) {
  Hello out;
  out.cluster = config.cluster;
  out.member = config.member;
  out.from = identity.id;
  out.lease = config.terms.lease.count();
  out.drift = config.terms.drift;
  out.last_call = config.terms.last_call.count();
  return out;
}

}  // namespace

void Member::found(const Config& config) {
  Store store(config.store);
  if (!store.fresh()) throw StoreError("the group's store: " + config.store + ": begun already");
  std::vector<Consensus::Server> servers;
  Identity mine{config.cluster, config.member, 0, 0};
  for (std::size_t i = 0; i < config.members.size(); ++i) {
    const auto& peer = config.members[i];
    servers.push_back({i + 1, peer.address, peer.votes ? RAFT_VOTER : RAFT_STANDBY});
    if (peer.name == config.member) mine.id = i + 1;
  }
  if (mine.id == 0)
    throw StoreError("the group's store: " + config.member + " is not one of group.members: it joins");
  store.begin(mine);
  Consensus::found(store, servers);
}

Member::Member(net::Loop& loop, core::Counters& counters, const Config& config, std::vector<Part*> parts,
               Note note)
    : loop_(loop),
      counters_(counters),
      config_(config),
      parts_(std::move(parts)),
      note_(std::move(note)),
      scheduler_(loop),
      store_(config_.store),
      identity_(store_.identity()),
      links_(
          loop, counters, hello_of(config_, identity_),
          [this](const Hello& from, Frame&& frame) { receive(from, std::move(frame)); }, note_) {
  if (!store_.fresh()) {
    if (identity_.cluster != config_.cluster)
      throw config::ConfigError("configuration: group.cluster: the store is of group " + identity_.cluster);
    if (identity_.member != config_.member)
      throw config::ConfigError("configuration: group.member: the store is of member " + identity_.member);
    identity_.life = store_.next_life();
  }
  if (!links_.listen(config_.listen))
    throw config::ConfigError("configuration: group.listen: cannot listen on " + config_.listen);
  if (!store_.fresh()) {
    begin();
  } else {
    note_("there is no store: asks to be let in under another id");
    ask_in();
  }
}

Member::~Member() {
  loop_.cancel(asks_);
  consensus_.reset();
}

void Member::begin() {
  consensus_ = std::make_unique<Consensus>(scheduler_, store_, static_cast<Consensus::User&>(*this),
                                           identity_.id, config_.address, config_.election);
}

std::uint64_t Member::new_life(std::uint64_t above) {
  identity_.life = store_.next_life();
  if (identity_.life > above) return identity_.life;
  identity_.life = above + 1;
  store_.begin(identity_);
  return identity_.life;
}

std::size_t Member::stored() const {
  try {
    return store_.bytes();
  } catch (const StoreError&) {
    counters_.add("group.store_unread");
    return 0;
  }
}

std::vector<Consensus::Server> Member::servers() const {
  return consensus_ ? consensus_->servers() : std::vector<Consensus::Server>();
}

bool Member::propose(const Part& part, const std::string& entry, std::function<void(bool)> done) {
  return consensus_ && consensus_->propose(tagged(part.kind(), entry), std::move(done));
}

bool Member::tell_leader(const Part& part, const std::string& word) {
  if (!consensus_) return false;
  if (consensus_->leads()) {
    loop_.at(loop_.now(), [to = part_of(part.kind()), word] { to->told(word); });
    return true;
  }
  const auto leader = consensus_->leader();
  return leader.id != 0 &&
         links_.send(leader.id, leader.address, Frame::Kind::word, "t" + tagged(part.kind(), word));
}

bool Member::send_view(const std::string& address, const std::string& body) {
  return links_.send(0, address, Frame::Kind::view, body);
}

Part* Member::part_of(const std::string& kind) const {
  const auto same = [&](const Part* part) { return part->kind() == kind; };
  const auto found = std::find_if(parts_.begin(), parts_.end(), same);
  return found == parts_.end() ? nullptr : *found;
}

// Danger: an entry that is skipped leaves this member with another state than those that know its kind.
void Member::applied(std::uint64_t index, const std::string& entry) {
  const auto [kind, text] = untagged(entry);
  if (Part* part = part_of(kind)) {
    part->applied(index, text);
    if (observer_ != nullptr) observer_->log_applied(index);
    return;
  }
  counters_.add("group.unknown_entries");
  failed("entry " + std::to_string(index) +
         " of the log is of a kind that this program does not know: " + kind.substr(0, 40));
}

std::string Member::snapshot() {
  std::map<std::string, std::string> out;
  for (Part* part : parts_) out.emplace(part->kind(), part->snapshot());
  return worded_parts(out);
}

bool Member::restore(const std::string& snapshot) {
  const auto read = read_parts(snapshot);
  if (!read) return false;
  for (const auto& [kind, text] : *read) {
    if (part_of(kind) == nullptr) return false;
  }
  const bool restored = std::all_of(parts_.begin(), parts_.end(), [&](Part* part) {
    const auto found = read->find(part->kind());
    return part->restore(found == read->end() ? std::string() : found->second);
  });
  if (restored && observer_ != nullptr) observer_->log_restored();
  return restored;
}

void Member::receive(const Hello& from, Frame&& frame) {
  if (frame.kind == Frame::Kind::word) return word(from, frame.body);
  if (frame.kind == Frame::Kind::view) return heard_ ? heard_(from.member, frame.body) : void();
  auto message = read_message(frame.body);
  if (!message) {
    counters_.add("group.malformed");
    return;
  }
  std::string address;
  if (consensus_ && !consensus_->has_failed()) {
    for (const auto& s : consensus_->servers()) {
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
  consensus_->receive(from.from, address, std::move(*message));
}

void Member::send(std::uint64_t to, const std::string& address, const raft_message& message) {
  links_.send(to, address, Frame::Kind::consensus, worded(message));
}

void Member::failed(const std::string& why) {
  counters_.add("group.failed");
  note_(why + ": takes no part any more");
  for (Part* part : parts_) part->failed(why);
}

// The parts are not told: without a replica that takes part nothing is applied here, and leases run out.
void Member::unavailable(sqlite::ResultKind kind, const std::string& why) {
  counters_.add(std::string("group.store_") + sqlite::name_of(kind));
  note_(why + ": takes no part until the store takes writes again");
}

void Member::available() {
  counters_.add("group.store_recovered");
  note_("the store takes writes again: takes part");
}

}  // namespace lotusyard::group
