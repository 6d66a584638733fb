#include "amqp/reader.h"

#include <cstring>

namespace lotusyard::amqp {
namespace {

// The deepest nesting of tables and arrays that is read; it bounds the recursion.
constexpr int kMaxDepth = 4;

}  // namespace

std::uint64_t Reader::number(std::size_t size) {
  std::uint64_t value = 0;
  for (const char byte : take(size))
    value = value << 8 | static_cast<std::uint8_t>(byte);
  return value;
}

std::string_view Reader::take(std::size_t size) {
  if (!ok_ || size > unread_.size()) {
    ok_ = false;
    unread_ = {};
    return {};
  }
  const std::string_view part = unread_.substr(0, size);
  unread_.remove_prefix(size);
  return part;
}

// The types are those that brokers use in practice, which differ from the specification's list: `s` is a
// short integer, and `l` and `L` are both signed.
Value Reader::value(int depth) {
  const char type = static_cast<char>(u8());
  switch (type) {
    case 't':
      return u8() != 0;
    case 'b':
    case 'B':
    case 'U':
    case 's':
    case 'u':
    case 'I':
    case 'i':
    case 'L':
    case 'l':
      return integer(type);
    case 'f':
    case 'd':
      return real(type);
    case 'D':
      return skip_decimal();
    case 'S':
      return long_text();
    case 'T':  // a timestamp
      u64();
      return {};
    case 'x':  // a byte array
      long_text();
      return {};
    case 'A':
      return skip_items(Items::unnamed, depth);
    case 'F':
      return skip_items(Items::named, depth);
    case 'V':
      return {};
    default:
      ok_ = false;
      return {};
  }
}

Value Reader::integer(char type) {
  switch (type) {
    case 'b':
      return std::int64_t{static_cast<std::int8_t>(u8())};
    case 'B':
      return std::int64_t{u8()};
    case 'U':
    case 's':
      return std::int64_t{static_cast<std::int16_t>(u16())};
    case 'u':
      return std::int64_t{u16()};
    case 'I':
      return std::int64_t{static_cast<std::int32_t>(u32())};
    case 'i':
      return std::int64_t{u32()};
    default:
      return static_cast<std::int64_t>(u64());
  }
}

Value Reader::real(char type) {
  if (type == 'f') {
    const std::uint32_t bits = u32();
    float value = 0;
    std::memcpy(&value, &bits, sizeof value);
    return static_cast<double>(value);
  }
  const std::uint64_t bits = u64();
  double value = 0;
  std::memcpy(&value, &bits, sizeof value);
  return value;
}

// A scale and an unscaled integer.
Value Reader::skip_decimal() {
  u8();
  u32();
  return {};
}

Value Reader::skip_items(Items items, int depth) {
  Reader inner(take(u32()));
  if (depth >= kMaxDepth)
    inner.ok_ = false;
  while (inner.ok_ && !inner.unread_.empty()) {
    if (items == Items::named)
      inner.short_text();
    inner.value(depth + 1);
  }
  ok_ = ok_ && inner.ok_;
  return {};
}

Table Reader::table() {
  Reader inner(take(u32()));
  Table table;
  while (inner.ok_ && !inner.unread_.empty()) {
    std::string name = inner.short_text();
    table[std::move(name)] = inner.value(0);
  }
  ok_ = ok_ && inner.ok_;
  return table;
}

}  // namespace lotusyard::amqp
