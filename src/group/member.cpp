#include "group/member.h"

#include <algorithm>
#include <random>

#include "config/config.h"

namespace lotusyard::group {
namespace {

using nlohmann::json;

constexpr Millis kAskPace{500};  // how often one that is not in asks to be let in

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

Member::Member(net::Loop& loop, core::Counters& counters, const Config& config, Part& part, Note note)
    : loop_(loop),
      counters_(counters),
      config_(config),
      part_(part),
      note_(std::move(note)),
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
  consensus_ = std::make_unique<Consensus>(loop_, store_, static_cast<Consensus::User&>(*this), identity_.id,
                                           config_.address, config_.election);
}

std::uint64_t Member::new_life() { return identity_.life = store_.next_life(); }

std::vector<Consensus::Server> Member::servers() const {
  return consensus_ ? consensus_->servers() : std::vector<Consensus::Server>();
}

bool Member::propose(const std::string& entry, std::function<void(bool)> done) {
  return consensus_ && consensus_->propose(entry, std::move(done));
}

bool Member::tell_leader(const std::string& word) {
  if (!consensus_) return false;
  if (consensus_->leads()) {
    loop_.at(loop_.now(), [this, word] { part_.told(word); });
    return true;
  }
  const auto leader = consensus_->leader();
  return leader.id != 0 && links_.send(leader.id, leader.address, Frame::Kind::word, "t" + word);
}

// One without a store asks each it knows of in turn; whoever leads answers with an id.
void Member::ask_in() {
  if (consensus_) return;
  const auto& peer = config_.members[asked_++ % config_.members.size()];
  if (peer.name != config_.member) {
    const json word = {{"name", config_.member}, {"address", config_.address}};
    links_.send(0, peer.address, Frame::Kind::word, "j" + word.dump());
  }
  asks_ = loop_.at(loop_.now() + kAskPace, [this] { ask_in(); });
}

// A member that has lost its store comes under a new id, and its old one leaves: an id that promised once
// never speaks again without knowing what it promised. One change at a time; the asker asks again.
void Member::take_in(const std::string& name, const std::string& address) {
  if (!leads() || changing_) return;
  const auto done = [this](bool) { changing_ = false; };
  for (const auto& s : consensus_->servers()) {
    if (s.address != address) continue;
    const auto same = [&](const Peer& p) { return p.name == name; };
    if (s.role == RAFT_SPARE) {  // let in before, and without a place yet
      const auto peer = std::find_if(config_.members.begin(), config_.members.end(), same);
      const bool votes = peer != config_.members.end() && peer->votes;
      return give_place(s.id, address, votes ? RAFT_VOTER : RAFT_STANDBY);
    }
    if (s.id == identity_.id) return;
    counters_.add("group.ids_ended");
    note_("member " + name + " has lost its store: id " + std::to_string(s.id) + " ends");
    changing_ = consensus_->remove(s.id, done);
    return;
  }
  const std::uint64_t id = raft_digest(name.c_str(), std::random_device{}()) >> 1 | 1ULL << 32;
  note_("member " + name + " at " + address + " is let in as " + std::to_string(id));
  changing_ = consensus_->add({id, address, RAFT_SPARE}, done);
}

// It hears of its id first: from then on it listens to the consensus.
void Member::give_place(std::uint64_t id, const std::string& address, int role) {
  links_.send(0, address, Frame::Kind::word, "i" + std::to_string(id));
  changing_ = consensus_->assign(id, role == RAFT_VOTER ? RAFT_STANDBY : role, [this, id, role](bool done) {
    changing_ = false;
    if (done && role == RAFT_VOTER)
      changing_ = consensus_->assign(id, RAFT_VOTER, [this](bool) { changing_ = false; });
  });
}

void Member::receive(const Hello& from, Frame&& frame) {
  if (frame.kind == Frame::Kind::word) return word(from, frame.body);
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

void Member::word(const Hello& from, const std::string& body) {
  if (body.empty()) return;
  const std::string rest = body.substr(1);
  if (body[0] == 't' && leads()) return part_.told(rest);
  if (body[0] == 'j') {
    const auto asks = json::parse(rest, nullptr, false);
    if (!asks.is_object()) return counters_.add("group.malformed");
    const auto name = asks.value("name", json()), address = asks.value("address", json());
    if (name.is_string() && address.is_string() && net::valid_address(address.get<std::string>()) &&
        name.get<std::string>() == from.member)
      take_in(name.get<std::string>(), address.get<std::string>());
    return;
  }
  if (body[0] != 'i' || consensus_ || rest.empty() || rest.size() > 20 ||
      rest.find_first_not_of("0123456789") != std::string::npos)
    return;
  try {
    identity_ = {config_.cluster, config_.member, std::stoull(rest), 1};
    // A life of its own kind: larger than any that an earlier store of this member counted up to.
    identity_.life = static_cast<std::uint64_t>(loop_.now().count());
    store_.begin(identity_);
    links_.is_now(identity_.id);
    loop_.cancel(asks_);
    begin();
    note_("is in as " + rest);
  } catch (const std::exception& fault) { failed(fault.what()); }
}

void Member::send(std::uint64_t to, const std::string& address, const raft_message& message) {
  links_.send(to, address, Frame::Kind::consensus, worded(message));
}

void Member::failed(const std::string& why) {
  counters_.add("group.failed");
  note_(why + ": takes no part any more");
  part_.failed(why);
}

}  // namespace lotusyard::group
