#include "gossip/swim_protocol.h"

#include <algorithm>

#include "core/fault_injection.h"

namespace lotusyard::gossip {
namespace {

constexpr double kStalled = 2.5;  // periods without a tick: this process did not run, others were not silent

}  // namespace

SwimProtocol::SwimProtocol(MemberRecord self, std::vector<std::string> seed_addresses, GossipTiming pace,
                           std::uint64_t seed, Millis now)
    : pace_(pace),
      self_(std::move(self)),
      seed_addresses_(std::move(seed_addresses)),
      random_(seed),
      member_table_(pace_),
      ticked_(now),
      period_ends_(now),
      heard_(now) {
  member_table_.merge(self_, now);
  peers_told_.enqueue(self_.name);
}

void SwimProtocol::raise_health_multiplier(int by) {
  doubts_ = std::clamp(doubts_ + by, 0, pace_.max_health_multiplier);
}

Millis SwimProtocol::next_deadline() const {
  if (usurped_ || gone_) return Millis(std::numeric_limits<double>::infinity());
  Millis out = std::min(
      {period_ends_, ticked_ + pace_.period, member_table_.next_suspicion_expiry(stretched_period())});
  if (!probe_.name.empty() && !probe_.answered && !probe_.helped) out = std::min(out, direct_by_);
  return out;
}

void SwimProtocol::tick(Millis now) {
  if (usurped_ || gone_) return;
  // Danger: a process that was stopped would take the silence of that time for others' deaths.
  if (const Millis gap = now - ticked_; gap > pace_.period * kStalled && !fault_injected("stall")) {
    ++counts_.stalls;
    member_table_.extend_suspicions(gap);
    probe_ = {};
    period_ends_ = now + pace_.period;
    raise_health_multiplier(pace_.max_health_multiplier / 2);
  }
  ticked_ = now;
  // Danger: one that was cut off for longer than others remember would bring back who was forgotten.
  if (now - heard_ > pace_.forget_dead_after) {
    member_table_.forget_all_but(self_.name);
    heard_ = now;
  }
  for (MemberRecord& peer : member_table_.expired_suspects(now, stretched_period())) {
    peer.status = MemberStatus::dead;
    peer.suspected_by = self_.name;
    ++counts_.died;
    merge_record(peer, now);
  }
  const bool waits = !probe_.name.empty() && !probe_.answered;
  if (waits && !probe_.helped && now >= direct_by_) probe_for_other();
  if (now < period_ends_) return;
  end_period(now);
  begin_period(now);
}

void SwimProtocol::end_period(Millis now) {
  const Probe probe = std::exchange(probe_, {});
  if (probe.name.empty()) return;
  if (probe.answered) return raise_health_multiplier(-1);
  // Those that were asked to try would have said that they got none either: their silence is about this
  // member.
  raise_health_multiplier(probe.asked > probe.nacks ? 1 : 0);
  const MemberRecord* there = member_table_.find(probe.name);
  if (there == nullptr || !is_present(there->status)) return;
  MemberRecord peer = *there;
  peer.status = MemberStatus::suspect;
  peer.suspected_by = self_.name;
  ++counts_.suspected;
  merge_record(peer, now);
  send(peer.address, Message::Kind::nack, 0, {}, &peer);  // it may speak against that at once
}

void SwimProtocol::begin_period(Millis now) {
  ++periods_;
  period_ends_ = now + pace_.period * stretched_period();
  direct_by_ = now + pace_.period * pace_.direct_probe_fraction * stretched_period();
  member_table_.forget_dead(now, self_.name);
  while (!errands_.empty() && errands_.front().until < now) errands_.pop_front();
  request_full_sync();
  const std::string name = next_probe_target();
  const MemberRecord* peer = name.empty() ? nullptr : member_table_.find(name);
  if (peer == nullptr) return;
  probe_ = {name, ++number_, false, false, 0, 0};
  send(peer->address, Message::Kind::ping, number_, {},
       peer->status == MemberStatus::suspect ? peer : nullptr);
}

// Everybody once, in an order of this member's own, before anybody twice: the time until one is asked is
// bounded.
std::string SwimProtocol::next_probe_target() {
  for (int twice = 0; twice < 2; ++twice) {
    while (!turn_.empty()) {
      const std::string name = turn_.front();
      turn_.pop_front();
      const MemberRecord* peer = member_table_.find(name);
      if (peer != nullptr && is_present(peer->status)) return name;
    }
    for (const auto& [name, known] : member_table_.all()) {
      if (name != self_.name && is_present(known.record.status)) turn_.push_back(name);
    }
    std::shuffle(turn_.begin(), turn_.end(), random_);
  }
  return {};
}

// Full exchanges: with one that is here now and then, and more often with one that is not, or a seed address
// that nobody is known behind. Danger: each part of a fleet that was cut apart takes the other for dead, and
// asks nobody there.
void SwimProtocol::request_full_sync() {
  const auto some_here = random_members(1, {});
  const auto turn = [this](int every) {
    return periods_ % every == static_cast<int>(self_.incarnation % every);
  };
  // More to tell than messages carry: one is told all of it, as after a cut has healed.
  const bool much = peers_told_.size() > 2 * pace_.max_piggybacked;
  if (!some_here.empty() && (turn(pace_.full_sync_periods) || much || periods_ <= 2))
    send(some_here[0]->address, Message::Kind::sync, 0, {});
  if (!some_here.empty() && !turn(pace_.dead_sync_periods)) return;
  std::vector<std::string> places = seed_addresses_;
  for (const auto& [name, known] : member_table_.all()) {
    if (is_present(known.record.status))
      places.erase(std::remove(places.begin(), places.end(), known.record.address), places.end());
    else if (known.record.status == MemberStatus::dead)
      places.push_back(known.record.address);
  }
  places.erase(std::remove(places.begin(), places.end(), self_.address), places.end());
  if (!places.empty()) send(places[random_() % places.size()], Message::Kind::sync, 0, {});
}

std::vector<const MemberRecord*> SwimProtocol::random_members(std::size_t most, const std::string& but) {
  std::vector<const MemberRecord*> out;
  std::size_t met = 0;
  for (const auto& [name, known] : member_table_.all()) {  // each with the same chance
    if (name == self_.name || name == but || !is_present(known.record.status)) continue;
    ++met;
    if (out.size() < most)
      out.push_back(&known.record);
    else if (const std::size_t at = random_() % met; at < most)
      out[at] = &known.record;
  }
  return out;
}

void SwimProtocol::probe_for_other() {
  probe_.helped = true;
  for (const MemberRecord* other : random_members(pace_.indirect_probes, probe_.name)) {
    if (other->status == MemberStatus::suspect) continue;
    ++probe_.asked;
    send(other->address, Message::Kind::ping_request, probe_.number, probe_.name);
  }
}

void SwimProtocol::serve(Millis now) {
  if (self_.status != MemberStatus::joining) return;
  self_.status = MemberStatus::alive;
  merge_record(self_, now);
}

void SwimProtocol::leave(Millis now) {
  self_.status = MemberStatus::left;
  ++self_.refutation;
  merge_record(self_, now);
  for (const MemberRecord* other : random_members(pace_.indirect_probes, {}))
    send(other->address, Message::Kind::nack, 0, {}, &self_);
  gone_ = true;
}

void SwimProtocol::observe(const std::string& host, double host_life, bool usable) {
  const HostObservation* before = facts_.find(host, self_.name);
  const bool same = before != nullptr && before->host_incarnation == host_life && before->usable == usable;
  if (!same) merge_record(HostObservation{host, host_life, self_.name, self_.incarnation, ++stamp_, usable});
}

}  // namespace lotusyard::gossip
