#include "amqp/writer.h"

#include <cstring>

namespace lotusyard::amqp {
namespace {

constexpr std::size_t kMaxShortText = 255;

}  // namespace

Writer& Writer::number(std::uint64_t value, std::size_t size) {
  for (std::size_t remaining = size; remaining > 0; --remaining)
    bytes_ += static_cast<char>(value >> (8 * (remaining - 1)) & 0xFF);
  return *this;
}

Writer& Writer::short_text(std::string_view text) {
  text = text.substr(0, kMaxShortText);
  u8(text.size());
  bytes_ += text;
  return *this;
}

Writer& Writer::long_text(std::string_view text) {
  u32(text.size());
  bytes_ += text;
  return *this;
}

Writer& Writer::value(const Value& value) {
  if (const auto* text = std::get_if<std::string>(&value))
    return u8('S').long_text(*text);
  if (const auto* integer = std::get_if<std::int64_t>(&value))
    return u8('l').u64(static_cast<std::uint64_t>(*integer));
  if (const auto* flag = std::get_if<bool>(&value))
    return u8('t').u8(*flag ? 1 : 0);
  if (const auto* real = std::get_if<double>(&value)) {
    std::uint64_t bits = 0;
    std::memcpy(&bits, real, sizeof bits);
    return u8('d').u64(bits);
  }
  return u8('V');
}

Writer& Writer::table(const Table& table) {
  Writer items;
  for (const auto& [name, value] : table)
    items.short_text(name).value(value);
  return long_text(items.bytes());
}

}  // namespace lotusyard::amqp
