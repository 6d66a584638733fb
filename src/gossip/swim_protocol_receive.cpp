// What a member makes of what others say: answers, merges, and what it says against gossip about itself.
#include <algorithm>

#include "core/fault_injection.h"
#include "gossip/swim_protocol.h"

namespace lotusyard::gossip {
namespace {

constexpr std::size_t kErrandsMost = 256;

}  // namespace

void SwimProtocol::send(const std::string& address, Message::Kind kind, std::uint64_t number,
                        const std::string& about, const MemberRecord* about_peer) {
  Message out;
  out.kind = kind;
  out.number = number;
  out.self = self_;
  out.subject = about;
  if (about_peer != nullptr) out.members.push_back(*about_peer);
  const bool whole = kind == Message::Kind::sync || kind == Message::Kind::sync_reply;
  if (whole) {
    for (const auto& [name, known] : member_table_.all()) out.members.push_back(known.record);
    out.observations = facts_.all();
    peers_told_.record_full_sync(member_table_.present_count());
    facts_told_.record_full_sync(member_table_.present_count());
  } else {
    for (const auto& name : peers_told_.take(pace_.max_piggybacked, member_table_.present_count())) {
      if (const MemberRecord* peer = member_table_.find(name)) out.members.push_back(*peer);
    }
    for (const auto& key : facts_told_.take(pace_.max_piggybacked, member_table_.present_count())) {
      const auto at = key.find('\n');
      if (const HostObservation* fact = facts_.find(key.substr(0, at), key.substr(at + 1)))
        out.observations.push_back(*fact);
    }
  }
  out_.push_back({address, std::move(out)});
}

// Only the member itself speaks of itself with a new round; so it outdoes whatever is said of it.
void SwimProtocol::refute(std::uint64_t against, Millis now) {
  if (fault_injected("refute")) return;
  self_.refutation = std::max(self_.refutation, against) + 1;
  ++counts_.refuted;
  raise_health_multiplier(1);
  merge_record(self_, now);
}

void SwimProtocol::merge_record(const MemberRecord& peer, Millis now) {
  if (peer.name == self_.name && (peer.incarnation != self_.incarnation || peer.address != self_.address)) {
    if (!supersedes(peer, self_)) return;
    // Danger: two processes of one name that both speak up would outdo each other for ever. The later life
    // stays.
    usurped_ = true;
    member_table_.merge(peer, now);
    return changes_.push_back(peer);
  }
  if (peer.name == self_.name && supersedes(peer, self_)) return refute(peer.refutation, now);
  const MemberRecord* before = member_table_.find(peer.name);
  const MemberStatus stood = before == nullptr ? MemberStatus::dead : before->status;
  const std::uint64_t lived = before == nullptr ? 0 : before->incarnation;
  switch (member_table_.merge(peer, now)) {
    case MemberTable::MergeResult::rejected: ++counts_.refused; return;
    case MemberTable::MergeResult::unchanged: return;
    case MemberTable::MergeResult::confirmed: return peers_told_.enqueue(peer.name);
    case MemberTable::MergeResult::updated: break;
  }
  peers_told_.enqueue(peer.name);
  if (peer.status != stood || peer.incarnation != lived || before == nullptr) changes_.push_back(peer);
  if (peer.name == self_.name || peer.status != MemberStatus::alive || stood != MemberStatus::dead) return;
  turn_.insert(turn_.begin() + static_cast<std::ptrdiff_t>(random_() % (turn_.size() + 1)), peer.name);
}

// What another has believed for long is no reason to bury at once one that was here a moment ago: after a cut
// each side holds the other for dead, and says so of members that are well. They are given the time to speak
// up.
void SwimProtocol::merge_message(MemberRecord peer, Millis now) {
  const MemberRecord* before = member_table_.find(peer.name);
  const bool well =
      before != nullptr && is_present(before->status) && before->incarnation == peer.incarnation;
  if (peer.status == MemberStatus::dead && well && peer.name != self_.name && supersedes(peer, *before)) {
    peer.status = MemberStatus::suspect;
  }
  merge_record(peer, now);
}

void SwimProtocol::merge_record(const HostObservation& fact) {
  if (facts_.merge(fact) == MemberMetadata::MergeResult::updated)
    facts_told_.enqueue(fact.host + '\n' + fact.observer);
}

void SwimProtocol::receive(Millis now, const Message& m) {
  if (usurped_ || gone_) return;
  heard_ = now;
  const std::uint64_t round = self_.refutation;
  merge_record(m.self, now);
  const bool whole = m.kind == Message::Kind::sync || m.kind == Message::Kind::sync_reply;
  for (const auto& peer : m.members) whole ? merge_message(peer, now) : merge_record(peer, now);
  for (const auto& fact : m.observations) merge_record(fact);
  if (usurped_) return;
  // Whoever spoke ill of this member hears at once that it is well, and so do some others: the fewer have to
  // wait for gossip, the fewer bury it.
  if (self_.refutation > round) {
    if (m.kind != Message::Kind::ping) send(m.self.address, Message::Kind::nack, 0, {}, &self_);
    for (const MemberRecord* other : random_members(2 * pace_.indirect_probes, m.self.name))
      send(other->address, Message::Kind::nack, 0, {}, &self_);
  }
  answer(m, now);
}

void SwimProtocol::answer(const Message& m, Millis now) {
  // It may not know what is said of it, and would not speak up: it is told with the answer.
  const MemberRecord* them = member_table_.find(m.self.name);
  const MemberRecord* gossip = them != nullptr && supersedes(*them, m.self) ? them : nullptr;
  const std::string& address = m.self.address;
  switch (m.kind) {
    case Message::Kind::ping: return send(address, Message::Kind::ack, m.number, self_.name, gossip);
    case Message::Kind::sync: return send(address, Message::Kind::sync_reply, 0, {});
    case Message::Kind::sync_reply: return;
    case Message::Kind::ping_request: {
      const MemberRecord* about = member_table_.find(m.subject);
      if (about == nullptr || errands_.size() >= kErrandsMost) return;
      errands_.push_back({m.number, ++number_, address, m.subject, now + pace_.period * 4});
      send(address, Message::Kind::nack, m.number, m.subject, gossip);
      return send(about->address, Message::Kind::ping, number_, {}, about);
    }
    case Message::Kind::nack:
      if (m.number == probe_.number && m.subject == probe_.name) ++probe_.nacks;
      return;
    case Message::Kind::ack: break;
  }
  if (m.number == probe_.number && m.subject == probe_.name) probe_.answered = true;
  const auto mine = std::find_if(errands_.begin(), errands_.end(), [&](const IndirectProbe& e) {
    return e.own_number == m.number && e.subject == m.subject;
  });
  if (mine == errands_.end()) return;
  const IndirectProbe errand = *mine;
  errands_.erase(mine);
  const MemberRecord* about = member_table_.find(errand.subject);
  send(errand.address, Message::Kind::ack, errand.requester_number, errand.subject, about);
}

}  // namespace lotusyard::gossip
