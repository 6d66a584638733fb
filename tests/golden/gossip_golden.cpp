// Gossip between members: every kind of message, with members in every state.
#include "golden/golden_file.h"
#include "gossip/message.h"

namespace lotusyard::golden {
namespace {

using gossip::MemberStatus;
using gossip::Message;

std::string reencode_message(const std::string& bytes) {
  return gossip::encode_message(decoded(gossip::decode_message(bytes)));
}

const std::vector<gossip::MemberRecord> kPeers = {
    {"member-1", "127.0.0.1:7300", 1ULL << 60, 2, MemberStatus::joining, ""},
    {"member-2", "127.0.0.1:7301", 2, 0, MemberStatus::alive, ""},
    {"member-3", "127.0.0.1:7302", 3, 9, MemberStatus::suspect, "member-1"},
    {"member-4", "127.0.0.1:7303", 4, 1, MemberStatus::dead, "member-2"},
    {"member-5", "127.0.0.1:7304", 5, 1, MemberStatus::left, ""}};
const std::vector<gossip::HostObservation> kObservations = {
    {"h1", 1700000000000.5, "member-1", 1ULL << 60, 12, false}, {"h2", 0, "member-2", 2, 1, true}};

Message message(Message::Kind kind) {
  return {kind, 1234567890123, kPeers[1], "member-3", kPeers, kObservations};
}

}  // namespace

GoldenFile gossip_golden() {
  const std::vector<std::pair<std::string, Message::Kind>> kinds = {
      {"ping", Message::Kind::ping},     {"ask", Message::Kind::ping_request},
      {"ack", Message::Kind::ack},       {"nack", Message::Kind::nack},
      {"exchange", Message::Kind::sync}, {"reply", Message::Kind::sync_reply}};
  GoldenFile out{"gossip", {}};
  for (const auto& [name, kind] : kinds)
    out.samples.push_back({name, gossip::encode_message(message(kind)), reencode_message});
  const Message least{Message::Kind::ping, 0, kPeers[0], "", {}, {}};
  out.samples.push_back({"least", gossip::encode_message(least), reencode_message});
  return out;
}

}  // namespace lotusyard::golden
