#include "gossip/swim_protocol.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "core/fault_injection.h"
#include "gossip/absent_members.h"

namespace lotusyard::gossip {
namespace {

// Periods without a tick after which this process counts as paused.
constexpr double kPausePeriods = 2.5;
// A member that has just started requests a full sync in each of its first periods.
constexpr int kInitialSyncPeriods = 2;
// For messages that answer no probe.
constexpr std::uint64_t kNoProbe = 0;

}  // namespace

SwimProtocol::SwimProtocol(MemberRecord self, std::vector<std::string> seed_addresses,
                           const GossipTiming& timing, std::uint64_t seed, Millis now)
    : timing_(timing),
      seed_addresses_(std::move(seed_addresses)),
      random_(seed),
      health_(timing.max_health_multiplier),
      probe_order_(random_),
      state_(std::move(self), timing_, health_, probe_order_, now),
      last_tick_at_(now),
      period_ends_at_(now),
      last_received_at_(now) {}

Millis SwimProtocol::next_deadline() const {
  if (is_silent())
    return Millis(std::numeric_limits<double>::infinity());
  const Millis suspicion_expiry = member_table().next_suspicion_expiry(health_.timeout_multiplier());
  const Millis next = std::min({period_ends_at_, last_tick_at_ + timing_.period, suspicion_expiry});
  return probe_.awaits_direct_ack() ? std::min(next, direct_probe_deadline_) : next;
}

void SwimProtocol::tick(Millis now) {
  if (is_silent())
    return;
  detect_pause(now);
  last_tick_at_ = now;
  reset_after_isolation(now);
  state_.declare_expired_suspects_dead(now);
  const bool is_direct_probe_over = now >= direct_probe_deadline_;
  if (probe_.awaits_direct_ack() && is_direct_probe_over)
    request_indirect_probes();
  if (now < period_ends_at_)
    return;
  end_period(now);
  begin_period(now);
}

// After a pause this process would mistake its own silence for that of the others, so the time is not
// counted.
void SwimProtocol::detect_pause(Millis now) {
  const Millis gap = now - last_tick_at_;
  if (gap <= timing_.period * kPausePeriods || fault_injected("stall"))
    return;
  state_.record_pause(gap);
  probe_ = {};
  period_ends_at_ = now + timing_.period;
}

// A member that was isolated for longer than others retain records of dead members would reintroduce members
// that they have removed.
void SwimProtocol::reset_after_isolation(Millis now) {
  if (now - last_received_at_ <= timing_.remove_dead_after)
    return;
  state_.remove_others();
  last_received_at_ = now;
}

void SwimProtocol::end_period(Millis now) {
  const Probe probe = std::exchange(probe_, {});
  if (probe.target.empty())
    return;
  if (probe.acked) {
    health_.improve();
    return;
  }
  // A member from which an indirect probe was requested sends a nack even if the target is silent. A missing
  // nack therefore shows that this member is the one that does not receive in time.
  if (probe.indirect_probes > probe.nacks)
    health_.degrade(1);
  const MemberRecord* target = member_table().find(probe.target);
  if (target == nullptr || !is_present(target->status))
    return;
  const MemberRecord suspected = state_.suspect(*target, now);
  // The suspected member is notified at once, so that it can refute.
  send_urgent(suspected.address, suspected);
}

void SwimProtocol::begin_period(Millis now) {
  ++periods_;
  period_ends_at_ = now + timing_.period * health_.timeout_multiplier();
  direct_probe_deadline_ =
      now + timing_.period * timing_.direct_probe_fraction * health_.timeout_multiplier();
  state_.remove_dead(now);
  relay_.remove_expired(now);
  start_full_syncs();
  start_probe();
}

void SwimProtocol::start_probe() {
  const std::string name = probe_order_.next(member_table(), self().name);
  const MemberRecord* target = name.empty() ? nullptr : member_table().find(name);
  if (target == nullptr)
    return;
  probe_ = {};
  probe_.target = name;
  probe_.number = ++last_probe_number_;
  const bool is_suspect = target->status == MemberStatus::suspect;
  send(target->address, Message::Kind::ping, probe_.number, {}, is_suspect ? target : nullptr);
}

void SwimProtocol::request_indirect_probes() {
  probe_.indirect_requested = true;
  for (const MemberRecord* helper : sample_present(timing_.indirect_probes, probe_.target)) {
    if (helper->status == MemberStatus::suspect)
      continue;
    ++probe_.indirect_probes;
    send(helper->address, Message::Kind::ping_request, probe_.number, probe_.target);
  }
}

// Incarnations differ between members, which spreads their full syncs over the periods.
bool SwimProtocol::is_sync_period(int interval) const {
  return periods_ % interval == static_cast<int>(self().incarnation % static_cast<std::uint64_t>(interval));
}

// Full syncs repair what dissemination has missed. Those with absent members are more frequent: each part of
// a partitioned cluster records the other as dead and probes none of its members, so nothing else would
// rejoin them.
void SwimProtocol::start_full_syncs() {
  const auto present = sample_present(1, {});
  if (present.empty()) {
    sync_with_absent_member();
    return;
  }
  const bool is_initial = periods_ <= kInitialSyncPeriods;
  const bool is_due = is_initial || is_sync_period(timing_.full_sync_periods);
  if (is_due || state_.has_dissemination_backlog()) {
    send(present.front()->address, Message::Kind::sync, kNoProbe, {});
  }
  if (is_sync_period(timing_.dead_sync_periods))
    sync_with_absent_member();
}

void SwimProtocol::sync_with_absent_member() {
  const auto addresses = absent_addresses(member_table(), seed_addresses_, self().address);
  if (addresses.empty())
    return;
  send(addresses[random_() % addresses.size()], Message::Kind::sync, kNoProbe, {});
}

void SwimProtocol::serve(Millis now) { state_.set_serving(now); }

void SwimProtocol::leave(Millis now) {
  state_.set_left(now);
  for (const MemberRecord* other : sample_present(timing_.indirect_probes, {})) {
    send_urgent(other->address, self());
  }
  left_ = true;
}

void SwimProtocol::observe(const std::string& host, double host_incarnation, bool usable) {
  state_.observe(host, host_incarnation, usable);
}

}  // namespace lotusyard::gossip
