// What members tell one another of the fleet, and its wording on the links: JSON, whose reader does not
// recurse, as that of CBOR does, however deep a stranger nests. It takes nothing that is not whole and sound.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gossip/member_metadata.h"
#include "gossip/member_record.h"

namespace lotusyard::gossip {

struct Message {
  enum class Kind : std::uint8_t {
    ping,          // are you there?
    ping_request,  // ping `about` for me
    ack,           // `about` is there
    nack,          // I am there; `about` has not answered me yet
    sync,          // all that I know; say what you know
    sync_reply     // all that I know
  };
  Kind kind = Kind::ping;
  std::uint64_t number = 0;  // of the probe; an answer repeats it
  MemberRecord self;         // the sender, as it knows itself
  std::string subject;
  std::vector<MemberRecord> members;
  std::vector<HostObservation> observations;
};
std::string encode_message(const Message& message);
std::optional<Message> decode_message(const std::string& body);

}  // namespace lotusyard::gossip
