#include "view/swim.h"

#include <algorithm>

#include "core/breaks.h"

namespace lotusyard::view {
namespace {

constexpr double kStalled = 2.5;  // periods without a tick: this process did not run, others were not silent

}  // namespace

const char* name_of(Standing standing) {
  static const char* const names[] = {"joining", "alive", "suspect", "dead", "left"};
  return names[static_cast<std::size_t>(standing)];
}

Swim::Swim(Peer self, std::vector<std::string> seed_addresses, Pace pace, std::uint64_t seed, Millis now)
    : pace_(pace),
      self_(std::move(self)),
      seed_addresses_(std::move(seed_addresses)),
      random_(seed),
      member_table_(pace_),
      ticked_(now),
      period_ends_(now),
      heard_(now) {
  member_table_.merge(self_, now);
  peers_told_.spread(self_.name);
}

void Swim::doubt(int by) { doubts_ = std::clamp(doubts_ + by, 0, pace_.doubts_most); }

Millis Swim::due() const {
  if (usurped_ || gone_) return Millis(std::numeric_limits<double>::infinity());
  Millis out = std::min({period_ends_, ticked_ + pace_.period, member_table_.next_unheard(stretch())});
  if (!probe_.name.empty() && !probe_.answered && !probe_.helped) out = std::min(out, direct_by_);
  return out;
}

void Swim::tick(Millis now) {
  if (usurped_ || gone_) return;
  // Danger: a process that was stopped would take the silence of that time for others' deaths.
  if (const Millis gap = now - ticked_; gap > pace_.period * kStalled && !breaks("stall")) {
    ++counts_.stalls;
    member_table_.later(gap);
    probe_ = {};
    period_ends_ = now + pace_.period;
    doubt(pace_.doubts_most / 2);
  }
  ticked_ = now;
  // Danger: one that was cut off for longer than others remember would bring back who was forgotten.
  if (now - heard_ > pace_.horizon) {
    member_table_.forget_all_but(self_.name);
    heard_ = now;
  }
  for (Peer& peer : member_table_.unheard(now, stretch())) {
    peer.standing = Standing::dead;
    peer.by = self_.name;
    ++counts_.died;
    take(peer, now);
  }
  const bool waits = !probe_.name.empty() && !probe_.answered;
  if (waits && !probe_.helped && now >= direct_by_) help();
  if (now < period_ends_) return;
  end_period(now);
  begin_period(now);
}

void Swim::end_period(Millis now) {
  const Probe probe = std::exchange(probe_, {});
  if (probe.name.empty()) return;
  if (probe.answered) return doubt(-1);
  // Those that were asked to try would have said that they got none either: their silence is about this
  // member.
  doubt(probe.asked > probe.nacks ? 1 : 0);
  const Peer* there = member_table_.find(probe.name);
  if (there == nullptr || !here(there->standing)) return;
  Peer peer = *there;
  peer.standing = Standing::suspect;
  peer.by = self_.name;
  ++counts_.suspected;
  take(peer, now);
  send(peer.address, Message::Kind::nack, 0, {}, &peer);  // it may speak against that at once
}

void Swim::begin_period(Millis now) {
  ++periods_;
  period_ends_ = now + pace_.period * stretch();
  direct_by_ = now + pace_.period * pace_.direct * stretch();
  member_table_.forget(now, self_.name);
  while (!errands_.empty() && errands_.front().until < now) errands_.pop_front();
  ask_for_all();
  const std::string name = next_in_turn();
  const Peer* peer = name.empty() ? nullptr : member_table_.find(name);
  if (peer == nullptr) return;
  probe_ = {name, ++number_, false, false, 0, 0};
  send(peer->address, Message::Kind::ping, number_, {}, peer->standing == Standing::suspect ? peer : nullptr);
}

// Everybody once, in an order of this member's own, before anybody twice: the time until one is asked is
// bounded.
std::string Swim::next_in_turn() {
  for (int twice = 0; twice < 2; ++twice) {
    while (!turn_.empty()) {
      const std::string name = turn_.front();
      turn_.pop_front();
      const Peer* peer = member_table_.find(name);
      if (peer != nullptr && here(peer->standing)) return name;
    }
    for (const auto& [name, known] : member_table_.all()) {
      if (name != self_.name && here(known.peer.standing)) turn_.push_back(name);
    }
    std::shuffle(turn_.begin(), turn_.end(), random_);
  }
  return {};
}

// Full exchanges: with one that is here now and then, and more often with one that is not, or a seed address
// that nobody is known behind. Danger: each part of a fleet that was cut apart takes the other for dead, and
// asks nobody there.
void Swim::ask_for_all() {
  const auto some_here = some(1, {});
  const auto turn = [this](int every) { return periods_ % every == static_cast<int>(self_.life % every); };
  // More to tell than messages carry: one is told all of it, as after a cut has healed.
  const bool much = peers_told_.size() > 2 * pace_.carried_most;
  if (!some_here.empty() && (turn(pace_.exchange_every) || much || periods_ <= 2))
    send(some_here[0]->address, Message::Kind::exchange, 0, {});
  if (!some_here.empty() && !turn(pace_.dead_every)) return;
  std::vector<std::string> places = seed_addresses_;
  for (const auto& [name, known] : member_table_.all()) {
    if (here(known.peer.standing))
      places.erase(std::remove(places.begin(), places.end(), known.peer.address), places.end());
    else if (known.peer.standing == Standing::dead)
      places.push_back(known.peer.address);
  }
  places.erase(std::remove(places.begin(), places.end(), self_.address), places.end());
  if (!places.empty()) send(places[random_() % places.size()], Message::Kind::exchange, 0, {});
}

std::vector<const Peer*> Swim::some(std::size_t most, const std::string& but) {
  std::vector<const Peer*> out;
  std::size_t met = 0;
  for (const auto& [name, known] : member_table_.all()) {  // each with the same chance
    if (name == self_.name || name == but || !here(known.peer.standing)) continue;
    ++met;
    if (out.size() < most)
      out.push_back(&known.peer);
    else if (const std::size_t at = random_() % met; at < most)
      out[at] = &known.peer;
  }
  return out;
}

void Swim::help() {
  probe_.helped = true;
  for (const Peer* other : some(pace_.others, probe_.name)) {
    if (other->standing == Standing::suspect) continue;
    ++probe_.asked;
    send(other->address, Message::Kind::ask, probe_.number, probe_.name);
  }
}

void Swim::serve(Millis now) {
  if (self_.standing != Standing::joining) return;
  self_.standing = Standing::alive;
  take(self_, now);
}

void Swim::leave(Millis now) {
  self_.standing = Standing::left;
  ++self_.round;
  take(self_, now);
  for (const Peer* other : some(pace_.others, {})) send(other->address, Message::Kind::nack, 0, {}, &self_);
  gone_ = true;
}

void Swim::see(const std::string& host, double host_life, bool usable) {
  const Fact* before = facts_.find(host, self_.name);
  const bool same = before != nullptr && before->host_life == host_life && before->usable == usable;
  if (!same) take(Fact{host, host_life, self_.name, self_.life, ++stamp_, usable});
}

}  // namespace lotusyard::view
