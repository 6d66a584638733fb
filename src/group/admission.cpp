// How a member without a store comes into a group: it asks, and whoever leads gives it an id and a place.
#include <algorithm>
#include <random>

#include "group/member.h"

namespace lotusyard::group {
namespace {

using nlohmann::json;

constexpr Millis kAskPace{500};  // how often one that is not in asks to be let in

}  // namespace

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

void Member::word(const Hello& from, const std::string& body) {
  if (body.empty()) return;
  const std::string rest = body.substr(1);
  if (body[0] == 't' && leads()) {
    const auto [kind, told] = untagged(rest);
    if (Part* part = part_of(kind)) return part->told(told);
    return counters_.add("group.malformed");
  }
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
  const Identity unnamed = identity_;
  try {
    identity_ = {config_.cluster, config_.member, std::stoull(rest), 1};
    // Larger than any that an earlier store of this member counted up to. If the clock was set back since,
    // the log tells, and a larger one is taken before the member joins (Coordinator::beat).
    identity_.life = static_cast<std::uint64_t>(loop_.now().count());
    store_.begin(identity_);
    links_.is_now(identity_.id);
    loop_.cancel(asks_);
    begin();
    note_("is in as " + rest);
  } catch (const StoreError& fault) {
    if (!fault.transient()) return failed(fault.what());
    unavailable(fault.kind, fault.what());
    identity_ = unnamed;  // it asks again, and is given its place again
  } catch (const std::exception& fault) { failed(fault.what()); }
}

}  // namespace lotusyard::group
