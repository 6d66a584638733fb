// Parsers of the field lists and numbers that the platform's protocols share.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lotusyard::net {

using Fields = std::map<std::string, std::string, std::less<>>;

// Parses a list of fields such as name=value,name=value or name:value;name:value. Returns nothing if an item
// has no name or no assignment character, or a name occurs twice.
std::optional<Fields> parse_fields(std::string_view text, char separator = ',', char assignment = '=');

// The value of a field; empty if there is no such field.
const std::string& field(const Fields& fields, std::string_view name);

// Parses 1 to 18 decimal digits. Returns nothing for other text and for numbers above `max`.
std::optional<std::uint64_t> parse_whole(std::string_view digits, std::uint64_t max);

// Parses exactly 16 lower-case hexadecimal digits.
std::optional<std::uint64_t> parse_hex16(std::string_view digits);

// Parses a finite number.
std::optional<double> parse_number(const std::string& text);

// Formats a number as 16 lower-case hexadecimal digits.
std::string hex16(std::uint64_t value);

}  // namespace lotusyard::net
