#include "config/section.h"

#include "config/json_read.h"
#include "net/socket.h"

namespace lotusyard::config {

std::string Section::path_of(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

const json& Section::operator[](const char* name) const { return key(value_, name); }

void Section::fail(const std::string& name, const std::string& problem) const {
  throw ConfigError(path_of(name), problem);
}

void Section::require_object() const {
  if (!value_.is_object())
    throw ConfigError(path_, "an object is needed");
}

void Section::require_object_or_null() const {
  if (!value_.is_null())
    require_object();
}

double Section::number(const char* name, double fallback, Range range) const {
  const json& value = (*this)[name];
  if (value.is_null())
    return fallback;
  if (!value.is_number())
    fail(name, "a number is needed");
  const double read = config::number(value, range.min - 1);
  if (!(read >= range.min && read <= range.max))
    fail(name, "must lie between " + json(range.min).dump() + " and " + json(range.max).dump());
  return read;
}

bool Section::flag(const char* name, bool fallback) const {
  const json& value = (*this)[name];
  if (value.is_null())
    return fallback;
  if (!value.is_boolean())
    fail(name, "true or false is needed");
  return value.get<bool>();
}

std::string Section::required_text(const char* name) const {
  const json& value = (*this)[name];
  if (!value.is_string() || value.get_ref<const std::string&>().empty())
    fail(name, "a text is needed");
  return value.get<std::string>();
}

std::string Section::text(const char* name, const std::string& fallback) const {
  return has(name) ? required_text(name) : fallback;
}

std::string Section::address(const char* name, const std::string& fallback) const {
  const json& value = (*this)[name];
  if (!value.is_null() && !value.is_string())
    fail(name, "a text is needed");
  std::string read = value.is_string() ? value.get<std::string>() : fallback;
  check_address(path_of(name), read);
  return read;
}

void check_address(const std::string& key, const std::string& address) {
  if (!net::valid_address(address))
    throw ConfigError(key, "no numeric address with a port: '" + address + "'");
}

}  // namespace lotusyard::config
