// The field lists that the platform's protocols share: name=value,name=value or name:value;name:value.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lotusyard::net {

using Fields = std::map<std::string, std::string, std::less<>>;

// Nothing if an item has no name or no sign, or a name stands twice.
std::optional<Fields> parse_fields(std::string_view text, char between = ',', char sign = '=');
const std::string& field(const Fields& fields, std::string_view name);  // empty where there is none

std::optional<std::uint64_t> parse_whole(std::string_view digits, std::uint64_t most);
std::optional<std::uint64_t> parse_hex16(std::string_view digits);  // exactly 16 digits
std::optional<double> parse_number(const std::string& text);        // finite
std::string hex16(std::uint64_t value);

}  // namespace lotusyard::net
