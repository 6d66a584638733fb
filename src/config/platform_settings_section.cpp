#include <algorithm>

#include "config/json_read.h"
#include "config/sections.h"
#include "config/settings.h"

namespace lotusyard::config {
namespace {

constexpr Millis kDefaultConnectTimeout{250};
constexpr Millis kDefaultLoadTimeout{10000};

bool is_class_name(const std::string& name) {
  return !name.empty() && name.find_first_of(" ,=\r\n") == std::string::npos;
}

void check_class(const policy::ClassSettings& checked, const std::vector<policy::ClassSettings>& classes) {
  if (!is_class_name(checked.name)) {
    throw ConfigError("settings.Classes[].Name", "a word without blanks, commas and equals signs is needed");
  }
  const std::string path = "settings.Classes[" + checked.name + "]";
  if (!(checked.deadline.count() > 0))
    throw ConfigError(path + ".HardLimit", "must be a number above 0");
  const auto has_same_name = [&](const policy::ClassSettings& other) { return other.name == checked.name; };
  if (std::count_if(classes.begin(), classes.end(), has_same_name) > 1)
    throw ConfigError(path, "is defined twice");
}

void check_classes(const Section& settings, const std::vector<policy::ClassSettings>& classes) {
  const json& rows = settings["Classes"];
  if (!rows.is_array() || rows.empty())
    settings.fail("Classes", "at least one class is needed");
  for (const auto& checked : classes)
    check_class(checked, classes);
}

// Sets the time-outs that the file leaves out or sets to zero.
void set_default_timeouts(policy::Settings& settings) {
  if (!(settings.host_protocol.connect_timeout.count() > 0))
    settings.host_protocol.connect_timeout = kDefaultConnectTimeout;
  if (!(settings.load_orders.timeout.count() > 0))
    settings.load_orders.timeout = kDefaultLoadTimeout;
}

}  // namespace

void read_platform_settings(const Section& settings, Config& config) {
  settings.require_object();
  const Section bounds = settings.child("Bounds");
  bounds.number("SendCap", 1, {1, 1000});  // only checked here: read_settings() reads it
  config.connection_idle = Millis(bounds.number("ConnIdle", config.connection_idle.count(), {1, 1e9}));
  config.max_attempts_per_connection =
      bounds.whole_number("StreamsPerConn", config.max_attempts_per_connection, {1, 1e6});
  config.settings = read_settings(settings.value(), config.seed);
  set_default_timeouts(config.settings);
  for (const auto& field : key(settings["LoadInfo"], "Fields"))
    config.report_fields.push_back(text(field));
  check_classes(settings, config.settings.classes);
}

}  // namespace lotusyard::config
