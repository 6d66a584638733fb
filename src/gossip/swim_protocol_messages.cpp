// How SwimProtocol handles the messages of other members.
#include <optional>

#include "core/fault_injection.h"
#include "gossip/swim_protocol.h"

namespace lotusyard::gossip {
namespace {

// Periods for which a relayed probe waits for its ack.
constexpr int kRelayPeriods = 4;
// For messages that answer no probe.
constexpr std::uint64_t kNoProbe = 0;

}  // namespace

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

// The refutation is sent to the sender of the suspicion and some others at once: the fewer members wait for
// dissemination, the fewer declare this one dead. The answer to a ping carries this member's record anyway.
void SwimProtocol::announce_refutation(const Message& cause) {
  if (cause.kind != Message::Kind::ping)
    send_urgent(cause.self.address, self());
  for (const MemberRecord* other : sample_present(2 * timing_.indirect_probes, cause.self.name)) {
    send_urgent(other->address, self());
  }
}

// A suspected sender may not have received the suspicion, and could not refute it; answers carry the newer
// record to it.
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
