// Lenient readers of JSON values: what is absent or of another type reads as the stated default.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "lotusyard/policy/policy.h"

namespace lotusyard::config {

using nlohmann::json;
using policy::Millis;

inline const json& absent() {
  static const json null_value;
  return null_value;
}

inline const json& at(const json& row, std::size_t index) {
  return index < row.size() ? row[index] : absent();
}

inline const json& key(const json& object, const char* name) {
  if (!object.is_object())
    return absent();
  const auto found = object.find(name);
  return found == object.end() ? absent() : *found;
}

inline double number(const json& value, double missing = 0) {
  if (!value.is_number())
    return missing;
  const double read = value.get<double>();
  return std::isfinite(read) ? read : missing;
}

constexpr double int_limit = 1e9;  // the type's range, with room

inline int whole(const json& value, int missing = 0) {
  const double read = number(value, missing);
  return static_cast<int>(std::min(std::max(read, -int_limit), int_limit));
}

inline std::uint64_t large(const json& value) {
  if (value.is_number_unsigned())
    return value.get<std::uint64_t>();
  return value.is_number_integer() ? static_cast<std::uint64_t>(value.get<std::int64_t>()) : 0;
}

inline bool flag(const json& value) { return value.is_boolean() ? value.get<bool>() : number(value) != 0; }

inline std::string text(const json& value) {
  if (value.is_string())
    return value.get<std::string>();
  return value.is_number_integer() ? value.dump() : std::string();
}

inline Millis millis(const json& value, double missing = 0) { return Millis(number(value, missing)); }

template <typename T>
T word(const std::string& name, const std::map<std::string, T>& words, T otherwise) {
  const auto found = words.find(name);
  return found == words.end() ? otherwise : found->second;
}

}  // namespace lotusyard::config
