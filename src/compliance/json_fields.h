// Readers of single JSON fields. Each throws std::invalid_argument with the text "KEY: what is wrong".
#pragma once

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

namespace lotusyard::compliance {

[[noreturn]] void throw_field_error(const std::string& key, const std::string& problem);

// A string of 1 to 128 bytes.
std::string read_required_text(const nlohmann::json& from, const char* key);

// A string of up to 128 bytes; empty if the field is missing.
std::string read_optional_text(const nlohmann::json& from, const char* key);

// A finite number; the field is required.
double read_number(const nlohmann::json& from, const char* key);

// False if the field is missing.
bool read_flag(const nlohmann::json& from, const char* key);

// A non-negative integer; 0 if the field is missing.
std::uint64_t read_unsigned(const nlohmann::json& from, const char* key);

// Rejects objects with keys other than the known ones. `path` precedes the key in the error's text.
void reject_unknown_keys(const nlohmann::json& from, const std::string& path,
                         std::initializer_list<const char*> known_keys);

}  // namespace lotusyard::compliance
