// The lexical rules of HTTP/1.1 that the request parser needs.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lotusyard::admin {

// Whether the text is a token, as method and header names are.
bool is_token(std::string_view text);

// Lower-cases ASCII letters.
std::string to_lower(std::string_view text);

// Without spaces and tabs at both ends.
std::string_view trim(std::string_view text);

// The value of a hexadecimal digit of either case.
std::optional<unsigned> hex_digit(char character);

// The percent-decoded path of a request target, without scheme, server and query. Returns nothing if the
// target has no path or is encoded wrongly, because another parser could read it differently.
std::optional<std::string> decode_path(std::string_view target);

}  // namespace lotusyard::admin
