// What a member makes of what others say: answers, merges, and what it says against gossip about itself.
#include <algorithm>

#include "core/breaks.h"
#include "view/swim.h"

namespace lotusyard::view {
namespace {

constexpr std::size_t kErrandsMost = 256;

}  // namespace

void Swim::send(const std::string& address, Message::Kind kind, std::uint64_t number,
                const std::string& about, const Peer* about_peer) {
  Message out;
  out.kind = kind;
  out.number = number;
  out.self = self_;
  out.about = about;
  if (about_peer != nullptr) out.peers.push_back(*about_peer);
  const bool whole = kind == Message::Kind::exchange || kind == Message::Kind::reply;
  if (whole) {
    for (const auto& [name, known] : member_table_.all()) out.peers.push_back(known.peer);
    out.facts = facts_.all();
    peers_told_.told_whole(member_table_.here_count());
    facts_told_.told_whole(member_table_.here_count());
  } else {
    for (const auto& name : peers_told_.take(pace_.carried_most, member_table_.here_count())) {
      if (const Peer* peer = member_table_.find(name)) out.peers.push_back(*peer);
    }
    for (const auto& key : facts_told_.take(pace_.carried_most, member_table_.here_count())) {
      const auto at = key.find('\n');
      if (const Fact* fact = facts_.find(key.substr(0, at), key.substr(at + 1))) out.facts.push_back(*fact);
    }
  }
  out_.push_back({address, std::move(out)});
}

// Only the member itself speaks of itself with a new round; so it outdoes whatever is said of it.
void Swim::speak_up(std::uint64_t against, Millis now) {
  if (breaks("refute")) return;
  self_.round = std::max(self_.round, against) + 1;
  ++counts_.refuted;
  doubt(1);
  take(self_, now);
}

void Swim::take(const Peer& peer, Millis now) {
  if (peer.name == self_.name && (peer.life != self_.life || peer.address != self_.address)) {
    if (!outdoes(peer, self_)) return;
    // Danger: two processes of one name that both speak up would outdo each other for ever. The later life
    // stays.
    usurped_ = true;
    member_table_.merge(peer, now);
    return changes_.push_back(peer);
  }
  if (peer.name == self_.name && outdoes(peer, self_)) return speak_up(peer.round, now);
  const Peer* before = member_table_.find(peer.name);
  const Standing stood = before == nullptr ? Standing::dead : before->standing;
  const std::uint64_t lived = before == nullptr ? 0 : before->life;
  switch (member_table_.merge(peer, now)) {
    case MemberTable::Took::refused: ++counts_.refused; return;
    case MemberTable::Took::known: return;
    case MemberTable::Took::louder: return peers_told_.spread(peer.name);
    case MemberTable::Took::news: break;
  }
  peers_told_.spread(peer.name);
  if (peer.standing != stood || peer.life != lived || before == nullptr) changes_.push_back(peer);
  if (peer.name == self_.name || peer.standing != Standing::alive || stood != Standing::dead) return;
  turn_.insert(turn_.begin() + static_cast<std::ptrdiff_t>(random_() % (turn_.size() + 1)), peer.name);
}

// What another has believed for long is no reason to bury at once one that was here a moment ago: after a cut
// each side holds the other for dead, and says so of members that are well. They are given the time to speak
// up.
void Swim::take_said(Peer peer, Millis now) {
  const Peer* before = member_table_.find(peer.name);
  const bool well = before != nullptr && here(before->standing) && before->life == peer.life;
  if (peer.standing == Standing::dead && well && peer.name != self_.name && outdoes(peer, *before)) {
    peer.standing = Standing::suspect;
  }
  take(peer, now);
}

void Swim::take(const Fact& fact) {
  if (facts_.merge(fact) == Facts::Took::news) facts_told_.spread(fact.host + '\n' + fact.observer);
}

void Swim::receive(Millis now, const Message& m) {
  if (usurped_ || gone_) return;
  heard_ = now;
  const std::uint64_t round = self_.round;
  take(m.self, now);
  const bool whole = m.kind == Message::Kind::exchange || m.kind == Message::Kind::reply;
  for (const auto& peer : m.peers) whole ? take_said(peer, now) : take(peer, now);
  for (const auto& fact : m.facts) take(fact);
  if (usurped_) return;
  // Whoever spoke ill of this member hears at once that it is well, and so do some others: the fewer have to
  // wait for gossip, the fewer bury it.
  if (self_.round > round) {
    if (m.kind != Message::Kind::ping) send(m.self.address, Message::Kind::nack, 0, {}, &self_);
    for (const Peer* other : some(2 * pace_.others, m.self.name))
      send(other->address, Message::Kind::nack, 0, {}, &self_);
  }
  answer(m, now);
}

void Swim::answer(const Message& m, Millis now) {
  // It may not know what is said of it, and would not speak up: it is told with the answer.
  const Peer* them = member_table_.find(m.self.name);
  const Peer* gossip = them != nullptr && outdoes(*them, m.self) ? them : nullptr;
  const std::string& address = m.self.address;
  switch (m.kind) {
    case Message::Kind::ping: return send(address, Message::Kind::ack, m.number, self_.name, gossip);
    case Message::Kind::exchange: return send(address, Message::Kind::reply, 0, {});
    case Message::Kind::reply: return;
    case Message::Kind::ask: {
      const Peer* about = member_table_.find(m.about);
      if (about == nullptr || errands_.size() >= kErrandsMost) return;
      errands_.push_back({m.number, ++number_, address, m.about, now + pace_.period * 4});
      send(address, Message::Kind::nack, m.number, m.about, gossip);
      return send(about->address, Message::Kind::ping, number_, {}, about);
    }
    case Message::Kind::nack:
      if (m.number == probe_.number && m.about == probe_.name) ++probe_.nacks;
      return;
    case Message::Kind::ack: break;
  }
  if (m.number == probe_.number && m.about == probe_.name) probe_.answered = true;
  const auto mine = std::find_if(errands_.begin(), errands_.end(),
                                 [&](const Errand& e) { return e.mine == m.number && e.about == m.about; });
  if (mine == errands_.end()) return;
  const Errand errand = *mine;
  errands_.erase(mine);
  const Peer* about = member_table_.find(errand.about);
  send(errand.address, Message::Kind::ack, errand.theirs, errand.about, about);
}

}  // namespace lotusyard::view
