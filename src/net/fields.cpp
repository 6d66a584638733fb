#include "net/fields.h"

#include <cmath>
#include <cstdlib>

namespace lotusyard::net {

std::optional<Fields> parse_fields(std::string_view text, char between, char sign) {
  Fields out;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(between));
    text.remove_prefix(item.size() == text.size() ? item.size() : item.size() + 1);
    const auto at = item.find(sign);
    if (at == std::string_view::npos || at == 0)
      return std::nullopt;
    if (!out.emplace(item.substr(0, at), item.substr(at + 1)).second)
      return std::nullopt;
  }
  return out;
}

const std::string& field(const Fields& fields, std::string_view name) {
  static const std::string none;
  const auto found = fields.find(name);
  return found == fields.end() ? none : found->second;
}

std::optional<std::uint64_t> parse_whole(std::string_view digits, std::uint64_t most) {
  if (digits.empty() || digits.size() > 18)
    return std::nullopt;
  std::uint64_t value = 0;
  for (const char c : digits) {
    if (c < '0' || c > '9')
      return std::nullopt;
    value = value * 10 + static_cast<std::uint64_t>(c - '0');
  }
  if (value > most)
    return std::nullopt;
  return value;
}

std::optional<std::uint64_t> parse_hex16(std::string_view digits) {
  if (digits.size() != 16)
    return std::nullopt;
  std::uint64_t value = 0;
  for (const char c : digits) {
    const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (digit < 0)
      return std::nullopt;
    value = value << 4 | static_cast<std::uint64_t>(digit);
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
  std::string out(16, '0');
  for (std::size_t i = 16; i-- > 0; value >>= 4)
    out[i] = "0123456789abcdef"[value & 15];
  return out;
}

}  // namespace lotusyard::net
