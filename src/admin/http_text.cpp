#include "admin/http_text.h"

#include <algorithm>
#include <cctype>

namespace lotusyard::admin {
namespace {

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

bool is_token_character(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
         kTokenPunctuation.find(character) != std::string_view::npos;
}

// Drops scheme and server, which a request through a proxy contains.
std::string_view strip_origin(std::string_view target) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (to_lower(target.substr(0, scheme.size())) != scheme)
      continue;
    const auto slash = target.find('/', scheme.size());
    target = slash == std::string_view::npos ? "/" : target.substr(slash);
  }
  return target;
}

// Decodes the escape %XX at the start of the text.
std::optional<char> decode_escape(std::string_view text) {
  if (text.size() < 3)
    return std::nullopt;
  const auto high = hex_digit(text[1]);
  const auto low = hex_digit(text[2]);
  if (!high || !low)
    return std::nullopt;
  return static_cast<char>(*high * 16 + *low);
}

}  // namespace

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

std::string to_lower(std::string_view text) {
  std::string lower(text);
  for (char& character : lower)
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  return lower;
}

std::string_view trim(std::string_view text) {
  const auto is_blank = [](char character) { return character == ' ' || character == '\t'; };
  while (!text.empty() && is_blank(text.front()))
    text.remove_prefix(1);
  while (!text.empty() && is_blank(text.back()))
    text.remove_suffix(1);
  return text;
}

std::optional<unsigned> hex_digit(char character) {
  if (character >= '0' && character <= '9')
    return static_cast<unsigned>(character - '0');
  if (character >= 'a' && character <= 'f')
    return static_cast<unsigned>(character - 'a' + 10);
  if (character >= 'A' && character <= 'F')
    return static_cast<unsigned>(character - 'A' + 10);
  return std::nullopt;
}

std::optional<std::string> decode_path(std::string_view target) {
  target = strip_origin(target);
  target = target.substr(0, target.find('?'));
  if (target.empty() || target.front() != '/')
    return std::nullopt;
  std::string path;
  for (std::size_t i = 0; i < target.size(); ++i) {
    if (target[i] != '%') {
      path += target[i];
      continue;
    }
    const auto decoded = decode_escape(target.substr(i));
    if (!decoded)
      return std::nullopt;
    path += *decoded;
    i += 2;
  }
  return path;
}

}  // namespace lotusyard::admin
