#include "config/replacement.h"

#include <iterator>
#include <string>

#include "config/config_error.h"

namespace lotusyard::config {
namespace {

using nlohmann::json;

// All kinds of numbers count as one type.
std::string type_name(const json& value) { return value.is_number() ? "number" : value.type_name(); }

// The keys that all elements of the list have, with the values of the first one: an optional key of one
// element may be missing in others. Null unless all elements are objects.
json common_keys(const json& list) {
  json common = list.front();
  for (const auto& element : list) {
    if (!element.is_object() || !common.is_object())
      return json();
    for (auto member = common.begin(); member != common.end();)
      member = element.contains(member.key()) ? std::next(member) : common.erase(member);
  }
  return common;
}

json outline_of(const json& value) {
  if (value.is_array()) {
    const json element = value.empty() ? json() : common_keys(value);
    return element.is_null() ? json::array() : json::array({outline_of(element)});
  }
  if (!value.is_object())
    return value;
  json outline = json::object();
  for (const auto& [name, member] : value.items())
    outline[name] = outline_of(member);
  return outline;
}

void check(const json& outline, const json& next, const std::string& path);

std::string join(const std::string& path, const std::string& name) {
  if (path.empty())
    return name;
  return path + "." + name;
}

void check_members(const json& outline, const json& next, const std::string& path) {
  for (const auto& [name, member] : outline.items()) {
    const std::string member_path = join(path, name);
    if (!next.contains(name))
      throw ConfigError(member_path, "is missing");
    check(member, next.at(name), member_path);
  }
}

void check_elements(const json& outline, const json& next, const std::string& path) {
  if (outline.empty())
    return;
  for (std::size_t i = 0; i < next.size(); ++i)
    check(outline.front(), next[i], path + "[" + std::to_string(i) + "]");
}

void check(const json& outline, const json& next, const std::string& path) {
  if (outline.is_null())
    return;
  if (type_name(outline) != type_name(next))
    throw ConfigError(path, "is of type " + type_name(next) + ", was " + type_name(outline));
  if (outline.is_object())
    check_members(outline, next, path);
  else if (outline.is_array())
    check_elements(outline, next, path);
}

}  // namespace

json outline(json file) {
  // The events of `known` are many, and are used only at the start.
  if (file.contains("known"))
    file["known"] = json::object();
  return outline_of(file);
}

void check_replacement(const json& outline, const json& next) { check(outline, next, ""); }

}  // namespace lotusyard::config
