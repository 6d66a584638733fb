// Gossip between members: every kind of message, with members in every state.
#include "golden_part.h"
#include "view/message.h"

namespace lotusyard::golden {
namespace {

using view::Message;
using view::Standing;

std::string reencode_message(const std::string& bytes) {
  return view::worded(decoded(view::read_message(bytes)));
}

const std::vector<view::Peer> kPeers = {{"member-1", "127.0.0.1:7300", 1ULL << 60, 2, Standing::joining, ""},
                                        {"member-2", "127.0.0.1:7301", 2, 0, Standing::alive, ""},
                                        {"member-3", "127.0.0.1:7302", 3, 9, Standing::suspect, "member-1"},
                                        {"member-4", "127.0.0.1:7303", 4, 1, Standing::dead, "member-2"},
                                        {"member-5", "127.0.0.1:7304", 5, 1, Standing::left, ""}};
const std::vector<view::Fact> kFacts = {{"h1", 1700000000000.5, "member-1", 1ULL << 60, 12, false},
                                        {"h2", 0, "member-2", 2, 1, true}};

Message message(Message::Kind kind) { return {kind, 1234567890123, kPeers[1], "member-3", kPeers, kFacts}; }

}  // namespace

Part gossip_part() {
  const std::vector<std::pair<std::string, Message::Kind>> kinds = {
      {"ping", Message::Kind::ping}, {"ask", Message::Kind::ask},           {"ack", Message::Kind::ack},
      {"nack", Message::Kind::nack}, {"exchange", Message::Kind::exchange}, {"reply", Message::Kind::reply}};
  Part out{"gossip", {}};
  for (const auto& [name, kind] : kinds)
    out.samples.push_back({name, view::worded(message(kind)), reencode_message});
  const Message least{Message::Kind::ping, 0, kPeers[0], "", {}, {}};
  out.samples.push_back({"least", view::worded(least), reencode_message});
  return out;
}

}  // namespace lotusyard::golden
