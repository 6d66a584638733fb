#include "compliance/json_fields.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace lotusyard::compliance {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTextBytes = 128;
constexpr const char* kTextLengthProblem = "1 to 128 bytes are needed";

const std::string& text_of(const json& value, const char* key) {
  if (!value.is_string()) {
    throw_field_error(key, "a text is needed");
  }
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > kMaxTextBytes) {
    throw_field_error(key, kTextLengthProblem);
  }
  return text;
}

bool is_non_negative_integer(const json& value) {
  if (!value.is_number_integer()) {
    return false;
  }
  return value.is_number_unsigned() || value.get<std::int64_t>() >= 0;
}

}  // namespace

void throw_field_error(const std::string& key, const std::string& problem) {
  throw std::invalid_argument(key + ": " + problem);
}

std::string read_required_text(const json& from, const char* key) {
  const auto field = from.find(key);
  if (field == from.end()) {
    throw_field_error(key, "a text is needed");
  }
  const std::string& text = text_of(*field, key);
  if (text.empty()) {
    throw_field_error(key, kTextLengthProblem);
  }
  return text;
}

std::string read_optional_text(const json& from, const char* key) {
  const auto field = from.find(key);
  return field == from.end() ? std::string() : text_of(*field, key);
}

double read_number(const json& from, const char* key) {
  const auto field = from.find(key);
  const bool is_finite = field != from.end() && field->is_number() && std::isfinite(field->get<double>());
  if (!is_finite) {
    throw_field_error(key, "a number is needed");
  }
  return field->get<double>();
}

bool read_flag(const json& from, const char* key) {
  const auto field = from.find(key);
  if (field == from.end()) {
    return false;
  }
  if (!field->is_boolean()) {
    throw_field_error(key, "true or false is needed");
  }
  return field->get<bool>();
}

std::uint64_t read_unsigned(const json& from, const char* key) {
  const auto field = from.find(key);
  if (field == from.end()) {
    return 0;
  }
  if (!is_non_negative_integer(*field)) {
    throw_field_error(key, "a whole number is needed");
  }
  return field->get<std::uint64_t>();
}

void reject_unknown_keys(const json& from, const std::string& path,
                         std::initializer_list<const char*> known_keys) {
  for (const auto& [key, value] : from.items()) {
    if (std::find(known_keys.begin(), known_keys.end(), key) == known_keys.end()) {
      throw_field_error(path + key, "no such key");
    }
  }
}

}  // namespace lotusyard::compliance
