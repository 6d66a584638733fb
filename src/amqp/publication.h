// One publication of a message. A client that sends a message again publishes it anew under the same message
// id; a broker that delivers a message again delivers the same publication, unchanged.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "amqp/reply_address.h"

namespace lotusyard::amqp {

// What the publisher sets anew, or may set anew, each time. Two publications can be equal if it sets none of
// them; deliveries that differ are of different publications.
struct Publication {
  ReplyAddress address;
  std::optional<std::uint64_t> timestamp;  // seconds by the publisher's clock
  std::string timeout;                     // the header as it was written; empty: none

  bool operator==(const Publication& other) const {
    return address == other.address && timestamp == other.timestamp && timeout == other.timeout;
  }
};

}  // namespace lotusyard::amqp
