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
// Periods for which a relayed probe waits for its ack.
constexpr int kRelayPeriods = 4;
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
  forget_after_isolation(now);
  state_.declare_expired_suspects_dead(now);
  const bool is_direct_probe_over = now >= direct_probe_deadline_;
  if (probe_.awaits_direct_ack() && is_direct_probe_over)
    request_indirect_probes();
  if (now < period_ends_at_)
    return;
  end_period(now);
  begin_period(now);
}

// A process that was paused would take its own silence for that of the others, so the time is not counted.
void SwimProtocol::detect_pause(Millis now) {
  const Millis gap = now - last_tick_at_;
  if (gap <= timing_.period * kPausePeriods || fault_injected("stall"))
    return;
  state_.record_pause(gap);
  probe_ = {};
  period_ends_at_ = now + timing_.period;
}

// A member that was isolated for longer than others remember the dead would bring forgotten members back.
void SwimProtocol::forget_after_isolation(Millis now) {
  if (now - last_received_at_ <= timing_.forget_dead_after)
    return;
  state_.forget_others();
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
  // Members that were asked for an indirect probe send a nack even if the target is silent. A missing nack
  // therefore says that this member is the one that does not receive in time.
  if (probe.indirect_probes > probe.nacks)
    health_.degrade(1);
  const MemberRecord* target = member_table().find(probe.target);
  if (target == nullptr || !is_present(target->status))
    return;
  const MemberRecord suspected = state_.suspect(*target, now);
  // The suspected member learns of it at once, so that it can refute.
  send_urgent(suspected.address, suspected);
}

void SwimProtocol::begin_period(Millis now) {
  ++periods_;
  period_ends_at_ = now + timing_.period * health_.timeout_multiplier();
  direct_probe_deadline_ =
      now + timing_.period * timing_.direct_probe_fraction * health_.timeout_multiplier();
  state_.forget_dead(now);
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
// a partitioned cluster takes the other for dead and probes nobody there, so nothing else would rejoin them.
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

void SwimProtocol::receive(Millis now, const Message& message) {
  if (is_silent())
    return;
  last_received_at_ = now;
  const std::uint64_t previous_refutation = self().refutation;
  state_.merge_all(message, now);
  if (is_superseded())
    return;
  if (self().refutation > previous_refutation)
    announce_refutation(message);
  switch (message.kind) {
    case Message::Kind::ping:
      handle_ping(message);
      break;
    case Message::Kind::ping_request:
      handle_ping_request(message, now);
      break;
    case Message::Kind::ack:
      handle_ack(message);
      break;
    case Message::Kind::nack:
      handle_nack(message);
      break;
    case Message::Kind::sync:
      send(message.self.address, Message::Kind::sync_reply, kNoProbe, {});
      break;
    case Message::Kind::sync_reply:
      break;
  }
}

// The sender of the suspicion and some others learn of the refutation at once: the fewer members wait for
// dissemination, the fewer declare this one dead. The answer to a ping carries this member's record anyway.
void SwimProtocol::announce_refutation(const Message& cause) {
  if (cause.kind != Message::Kind::ping)
    send_urgent(cause.self.address, self());
  for (const MemberRecord* other : sample_present(2 * timing_.indirect_probes, cause.self.name)) {
    send_urgent(other->address, self());
  }
}

// A sender that is suspected may not know it, and could not refute; answers carry the newer record to it.
const MemberRecord* SwimProtocol::newer_record_of_sender(const Message& message) const {
  const MemberRecord* known = member_table().find(message.self.name);
  const bool is_newer = known != nullptr && supersedes(*known, message.self);
  return is_newer ? known : nullptr;
}

void SwimProtocol::handle_ping(const Message& ping) {
  send(ping.self.address, Message::Kind::ack, ping.number, self().name, newer_record_of_sender(ping));
}

void SwimProtocol::handle_ping_request(const Message& request, Millis now) {
  const MemberRecord* target = member_table().find(request.subject);
  if (target == nullptr || relay_.is_full())
    return;
  const std::uint64_t own_number = ++last_probe_number_;
  const Millis expires_at = now + timing_.period * kRelayPeriods;
  relay_.add({request.number, own_number, request.self.address, request.subject, expires_at});
  send(request.self.address, Message::Kind::nack, request.number, request.subject,
       newer_record_of_sender(request));
  send(target->address, Message::Kind::ping, own_number, {}, target);
}

void SwimProtocol::handle_ack(const Message& ack) {
  if (answers_own_probe(ack))
    probe_.acked = true;
  const auto relayed = relay_.take_answered(ack.number, ack.subject);
  if (!relayed)
    return;
  const MemberRecord* target = member_table().find(relayed->target);
  send(relayed->requester_address, Message::Kind::ack, relayed->requester_number, relayed->target, target);
}

void SwimProtocol::handle_nack(const Message& nack) {
  if (answers_own_probe(nack))
    ++probe_.nacks;
}

bool SwimProtocol::answers_own_probe(const Message& answer) const {
  return answer.number == probe_.number && answer.subject == probe_.target;
}

std::vector<const MemberRecord*> SwimProtocol::sample_present(std::size_t limit,
                                                              const std::string& excluded) {
  return state_.sample_present(limit, excluded, random_);
}

void SwimProtocol::send_urgent(const std::string& address, const MemberRecord& update) {
  send(address, Message::Kind::nack, kNoProbe, {}, &update);
}

void SwimProtocol::send(const std::string& address, Message::Kind kind, std::uint64_t number,
                        const std::string& subject, const MemberRecord* urgent_update) {
  Message message;
  message.kind = kind;
  message.number = number;
  message.self = self();
  message.subject = subject;
  if (urgent_update != nullptr)
    message.members.push_back(*urgent_update);
  if (is_full_sync(kind)) {
    state_.attach_full_state(message);
  } else {
    state_.attach_updates(message);
  }
  outgoing_.push_back({address, std::move(message)});
}

}  // namespace lotusyard::gossip
