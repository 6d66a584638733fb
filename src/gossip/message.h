// Gossip messages and their JSON encoding. JSON rather than CBOR because its parser does not recurse, however
// deeply an input is nested.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gossip/member_metadata.h"
#include "gossip/member_record.h"

namespace lotusyard::gossip {

struct Message {
  // The values are encoded in messages.
  enum class Kind : std::uint8_t {
    ping,          // direct probe of the receiver
    ping_request,  // requests an indirect probe of `subject`
    ack,           // `subject` has answered the probe
    nack,          // the sender is alive; `subject` has not answered it yet. Also carries urgent updates
    sync,          // full state of the sender; requests that of the receiver
    sync_reply     // full state of the sender
  };
  Kind kind = Kind::ping;
  std::uint64_t number = 0;  // of the probe; repeated in its answers
  MemberRecord self;         // the sender's own record
  std::string subject;       // name of the probed member, where the kind has one
  std::vector<MemberRecord> members;
  std::vector<HostObservation> observations;
};

// Whether messages of this kind carry the full state in place of piggybacked updates.
inline bool is_full_sync(Message::Kind kind) {
  return kind == Message::Kind::sync || kind == Message::Kind::sync_reply;
}

std::string encode_message(const Message& message);
// Nothing if the message is malformed, exceeds a limit, or claims to come from a dead member.
std::optional<Message> decode_message(const std::string& body);

}  // namespace lotusyard::gossip
