#include "config/config.h"

#include <fstream>
#include <functional>

#include "config/json_read.h"
#include "config/settings.h"
#include "net/fields.h"
#include "net/socket.h"

namespace lotusyard::config {
namespace {

[[noreturn]] void fault(const std::string& name, const std::string& what) {
  throw ConfigError("configuration: " + name + ": " + what);
}

const json& object(const json& from, const char* name) {
  const json& value = key(from, name);
  if (!value.is_object()) fault(name, "an object is needed");
  return value;
}

double number_within(const json& from, const char* name, const std::string& path, double missing, double least,
                     double most) {
  const json& value = key(from, name);
  if (value.is_null()) return missing;
  if (!value.is_number()) fault(path, "a number is needed");
  const double read = number(value, least - 1);
  if (!(read >= least && read <= most)) {
    fault(path, "must lie between " + json(least).dump() + " and " + json(most).dump());
  }
  return read;
}

std::string address(const json& from, const char* name, const std::string& otherwise) {
  const json& value = key(from, name);
  if (!value.is_null() && !value.is_string()) fault(name, "a text is needed");
  const std::string read = value.is_string() ? value.get<std::string>() : otherwise;
  if (!net::valid_address(read)) fault(name, "no numeric address with a port: '" + read + "'");
  return read;
}

std::uint64_t read_seed(const json& file) {
  const json& value = key(file, "seed");
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  const auto read = value.is_string() ? net::parse_hex16(value.get<std::string>()) : std::nullopt;
  if (!read) fault("seed", "16 hex digits are needed");
  return *read;
}

void check_settings(const json& env, const Config& config) {
  const auto& classes = key(env, "Classes");
  if (!classes.is_array() || classes.empty()) fault("settings.Classes", "at least one class is needed");
  for (const auto& c : config.settings.classes) {
    const std::string path = "settings.Classes[" + c.name + "]";
    if (c.name.empty() || c.name.find_first_of(" ,=\r\n") != std::string::npos) {
      fault("settings.Classes[].Name", "a word without blanks, commas and equals signs is needed");
    }
    if (!(c.deadline.count() > 0)) fault(path + ".HardLimit", "must be above 0");
  }
}

}  // namespace

nlohmann::json read_json_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) fault(path, "cannot be read");
  auto read = json::parse(in, nullptr, false);
  if (!read.is_object()) fault(path, "holds no JSON object");
  return read;
}

Config read_config(const json& file, const std::string& name, const std::string& listen) {
  Config out;
  out.name = key(file, "name").is_string() ? text(key(file, "name")) : name;
  out.listen = address(file, "listen", listen);
  out.changelog = address(file, "changelog", "");
  out.seed = read_seed(file);
  const json& limits = key(file, "limits");
  if (!limits.is_null() && !limits.is_object()) fault("limits", "an object is needed");
  out.memory_mb = static_cast<std::size_t>(number_within(limits, "memory_mb", "limits.memory_mb", 192, 32, 1e6));
  out.sockets = static_cast<std::size_t>(number_within(limits, "sockets", "limits.sockets", 1024, 64, 1e6));
  const json& known = key(file, "known");
  if (!known.is_null()) {
    if (!key(known, "seq").is_number_unsigned()) fault("known.seq", "a whole number is needed");
    if (!key(known, "results").is_array()) fault("known.results", "an array is needed");
    out.known_seq = large(key(known, "seq"));
    out.known_events = key(known, "results");
  }
  const json& env = object(file, "settings");
  const json& bounds = key(env, "Bounds");
  number_within(bounds, "SendCap", "settings.Bounds.SendCap", 1, 1, 1000);
  out.connection_idle = Millis(number_within(bounds, "ConnIdle", "settings.Bounds.ConnIdle", 15000, 1, 1e9));
  out.attempts_a_link = static_cast<std::size_t>(
      number_within(bounds, "StreamsPerConn", "settings.Bounds.StreamsPerConn", 32, 1, 1e6));
  out.settings = read_settings(env, out.seed);
  if (!(out.settings.connect_timeout.count() > 0)) out.settings.connect_timeout = Millis(250);
  if (!(out.settings.order_timeout.count() > 0)) out.settings.order_timeout = Millis(10000);
  for (const auto& field : key(key(env, "LoadInfo"), "Fields")) out.report_fields.push_back(text(field));
  check_settings(env, out);
  return out;
}

}  // namespace lotusyard::config
