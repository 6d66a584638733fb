// Serializes the types of which AMQP 0-9-1 methods are made.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "amqp/field_table.h"

namespace lotusyard::amqp {

// Appends values to a buffer, integers in network byte order. Calls can be chained.
class Writer {
 public:
  // Only the lowest bits of the value are written.
  Writer& u8(std::uint64_t value) { return number(value, sizeof(std::uint8_t)); }
  Writer& u16(std::uint64_t value) { return number(value, sizeof(std::uint16_t)); }
  Writer& u32(std::uint64_t value) { return number(value, sizeof(std::uint32_t)); }
  Writer& u64(std::uint64_t value) { return number(value, sizeof(std::uint64_t)); }
  // A string with a length of one byte; cut to 255 bytes.
  Writer& short_text(std::string_view text);
  // A string with a length of four bytes.
  Writer& long_text(std::string_view text);
  Writer& table(const Table& table);
  const std::string& bytes() const { return bytes_; }

 private:
  Writer& number(std::uint64_t value, std::size_t size);
  Writer& value(const Value& value);

  std::string bytes_;
};

}  // namespace lotusyard::amqp
