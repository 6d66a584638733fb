#include "net/fields.h"

#include <cmath>
#include <cstdlib>

namespace lotusyard::net {
namespace {

constexpr std::size_t kMaxDecimalDigits = 18;  // any number of this many digits fits into 64 bits
constexpr std::size_t kHexDigits = 16;         // of a 64-bit number
constexpr std::string_view kHexAlphabet = "0123456789abcdef";

std::optional<unsigned> hex_digit(char character) {
  if (character >= '0' && character <= '9')
    return static_cast<unsigned>(character - '0');
  if (character >= 'a' && character <= 'f')
    return static_cast<unsigned>(character - 'a' + 10);
  return std::nullopt;
}

}  // namespace

std::optional<Fields> parse_fields(std::string_view text, char separator, char assignment) {
  Fields fields;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(separator));
    text.remove_prefix(item.size() == text.size() ? item.size() : item.size() + 1);
    const auto name_end = item.find(assignment);
    if (name_end == std::string_view::npos || name_end == 0)
      return std::nullopt;
    if (!fields.emplace(item.substr(0, name_end), item.substr(name_end + 1)).second)
      return std::nullopt;
  }
  return fields;
}

const std::string& field(const Fields& fields, std::string_view name) {
  static const std::string none;
  const auto found = fields.find(name);
  return found == fields.end() ? none : found->second;
}

std::optional<std::uint64_t> parse_whole(std::string_view digits, std::uint64_t max) {
  if (digits.empty() || digits.size() > kMaxDecimalDigits)
    return std::nullopt;
  std::uint64_t value = 0;
  for (const char digit : digits) {
    if (digit < '0' || digit > '9')
      return std::nullopt;
    value = value * 10 + static_cast<std::uint64_t>(digit - '0');
  }
  if (value > max)
    return std::nullopt;
  return value;
}

std::optional<std::uint64_t> parse_hex16(std::string_view digits) {
  if (digits.size() != kHexDigits)
    return std::nullopt;
  std::uint64_t value = 0;
  for (const char character : digits) {
    const auto digit = hex_digit(character);
    if (!digit)
      return std::nullopt;
    value = value << 4 | *digit;
  }
  return value;
}

std::optional<double> parse_number(const std::string& text) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !std::isfinite(value))
    return std::nullopt;
  return value;
}

std::string hex16(std::uint64_t value) {
  std::string digits(kHexDigits, '0');
  for (std::size_t i = kHexDigits; i-- > 0; value >>= 4)
    digits[i] = kHexAlphabet[value & 15];
  return digits;
}

}  // namespace lotusyard::net
