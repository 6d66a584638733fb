// Content headers of class basic: the size of a message's body, and the message's properties.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "amqp/field_table.h"

namespace lotusyard::amqp {

// Under the specification's names. Empty strings, zeros and empty tables are properties that are not set.
struct Properties {
  std::string content_type, content_encoding, correlation_id, reply_to, expiration, message_id;
  std::string type, user_id, app_id;
  std::uint8_t delivery_mode = 0, priority = 0;
  std::optional<std::uint64_t> timestamp;  // seconds
  Table headers;
};

// Serializes the payload of a header frame.
std::string content_header(std::uint64_t body_size, const Properties& properties);
// Returns the size of the body in bytes and the properties, or nothing if the payload is malformed or not of
// class basic.
std::optional<std::pair<std::uint64_t, Properties>> read_content_header(std::string_view payload);

}  // namespace lotusyard::amqp
