// Serialization of the bodies of messages; message_codec.h adds the frames.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "control/message.h"

namespace lotusyard::control {

// The kinds on the wire, in the order of the alternatives of `Message`.
enum class MessageKind : std::uint8_t {
  open = 1,
  welcome,
  refusal,
  renew,
  grant,
  snapshot_chunk,
  delta,
  resume,
  close,
  forward
};

MessageKind kind_of(const Message& message);
std::string encode_body(const Message& message);
// Returns nothing unless the body is complete, well-formed and within the bounds of its fields.
std::optional<Message> decode_body(MessageKind kind, std::string_view body);

}  // namespace lotusyard::control
