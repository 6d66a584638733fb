// Lenient readers of JSON values: a value that is absent or of another type reads as the fallback.
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

// The value returned for an absent one: null.
inline const json& absent() {
  static const json null_value;
  return null_value;
}

// The element of an array.
inline const json& at(const json& array, std::size_t index) {
  return index < array.size() ? array[index] : absent();
}

// The member of an object.
inline const json& key(const json& object, const char* name) {
  if (!object.is_object())
    return absent();
  const auto found = object.find(name);
  return found == object.end() ? absent() : *found;
}

// A finite number.
inline double number(const json& value, double fallback = 0) {
  if (!value.is_number())
    return fallback;
  const double read = value.get<double>();
  return std::isfinite(read) ? read : fallback;
}

constexpr double kMaxInt = 1e9;  // within the range of int

// A number truncated to an integer, clamped to kMaxInt in both directions.
inline int integer(const json& value, int fallback = 0) {
  return static_cast<int>(std::clamp(number(value, fallback), -kMaxInt, kMaxInt));
}

// A 64-bit integer; 0 if the value is not an integer.
inline std::uint64_t integer64(const json& value) {
  if (value.is_number_unsigned())
    return value.get<std::uint64_t>();
  return value.is_number_integer() ? static_cast<std::uint64_t>(value.get<std::int64_t>()) : 0;
}

// A boolean, or whether a number is not zero.
inline bool flag(const json& value) { return value.is_boolean() ? value.get<bool>() : number(value) != 0; }

// A string, or the digits of an integer; empty if the value is neither.
inline std::string text(const json& value) {
  if (value.is_string())
    return value.get<std::string>();
  return value.is_number_integer() ? value.dump() : std::string();
}

// A number of milliseconds.
inline Millis millis(const json& value, double fallback = 0) { return Millis(number(value, fallback)); }

// The enumerator for a word.
template <typename T>
T word(const std::string& name, const std::map<std::string, T>& words, T fallback) {
  const auto found = words.find(name);
  return found == words.end() ? fallback : found->second;
}

}  // namespace lotusyard::config
