// Parses the types of which AMQP 0-9-1 methods are made.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "amqp/field_table.h"

namespace lotusyard::amqp {

// Reads values one after the other. A read past the end, or of a malformed value, returns an empty value and
// makes ok() false for good: check it before the values are used. The bytes must outlive the reader.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : unread_(bytes) {}
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(sizeof(std::uint8_t))); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(sizeof(std::uint16_t))); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(sizeof(std::uint32_t))); }
  std::uint64_t u64() { return number(sizeof(std::uint64_t)); }
  std::string short_text() { return std::string(take(u8())); }
  std::string long_text() { return std::string(take(u32())); }
  Table table();
  bool ok() const { return ok_; }

 private:
  enum class Items { unnamed, named };  // of an array, of a table

  std::uint64_t number(std::size_t size);
  std::string_view take(std::size_t size);
  // `depth` is the number of tables and arrays around the value.
  Value value(int depth);
  Value integer(char type);
  Value real(char type);
  Value skip_decimal();
  Value skip_items(Items items, int depth);

  std::string_view unread_;
  bool ok_ = true;
};

}  // namespace lotusyard::amqp
