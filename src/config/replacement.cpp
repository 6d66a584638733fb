#include "config/replacement.h"

#include <algorithm>
#include <string>

#include "config/config.h"

namespace lotusyard::config {
namespace {

using nlohmann::json;

const char* type_of(const json& value) { return value.is_number() ? "number" : value.type_name(); }

// Keys that all rows of a list have: an optional key of one of them need not stand in the next ones.
json common_row(const json& rows) {
  json common = rows.front();
  for (const auto& row : rows) {
    if (!row.is_object() || !common.is_object())
      return json();
    for (auto i = common.begin(); i != common.end();)
      i = row.contains(i.key()) ? std::next(i) : common.erase(i);
  }
  return common;
}

void check(const json& before, const json& next, const std::string& path) {
  const auto fault = [](const std::string& key, const std::string& what) {
    throw ConfigError("configuration: " + key + ": " + what);
  };
  if (before.is_null())
    return;
  if (std::string(type_of(before)) != type_of(next)) {
    fault(path, std::string("is of type ") + type_of(next) + ", was " + type_of(before));
  }
  if (before.is_object()) {
    for (const auto& [name, value] : before.items()) {
      const std::string here = path.empty() ? name : path + "." + name;
      if (!next.contains(name))
        fault(here, "is missing");
      check(value, next.at(name), here);
    }
  } else if (before.is_array() && !before.empty()) {
    for (std::size_t i = 0; i < next.size(); ++i) {
      check(before.front(), next[i], path + "[" + std::to_string(i) + "]");
    }
  }
}

json outlined(const json& value) {
  if (value.is_object()) {
    json out = json::object();
    for (const auto& [name, inner] : value.items())
      out[name] = outlined(inner);
    return out;
  }
  if (value.is_array()) {
    const json row = value.empty() ? json() : common_row(value);
    return row.is_null() ? json::array() : json::array({outlined(row)});
  }
  return value;
}

}  // namespace

json outline(json file) {
  // What was known at the start matters to the start alone, and is long.
  if (file.contains("known"))
    file["known"] = json::object();
  return outlined(file);
}

void check_replacement(const json& outline, const json& next) { check(outline, next, ""); }

}  // namespace lotusyard::config
