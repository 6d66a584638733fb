#include "app/configuration_reload.h"

#include <utility>

#include "app/app.h"
#include "config/replacement.h"

namespace lotusyard {
namespace {

std::shared_ptr<config::Config> parse_configuration(const nlohmann::json& file) {
  return std::make_shared<config::Config>(config::read_config(file, read_environment()));
}

// Keeps the current value of a setting, and adds its key to `changed_keys` if the next file has another
// value.
template <typename Value>
void retain(const char* key, const Value& current, Value& next, std::vector<std::string>& changed_keys) {
  if (current == next)
    return;
  changed_keys.emplace_back(key);
  next = current;
}

std::vector<std::string> retain_startup_settings(const config::Config& current, config::Config& next) {
  std::vector<std::string> changed_keys;
  retain("name", current.name, next.name, changed_keys);
  retain("listen", current.listen, next.listen, changed_keys);
  retain("console", current.console, next.console, changed_keys);
  retain("limits.memory_mb", current.memory_mb, next.memory_mb, changed_keys);
  retain("limits.sockets", current.sockets, next.sockets, changed_keys);
  // Not reported: a file without a seed gets another one at each reading.
  next.seed = current.seed;
  next.settings.seed = current.settings.seed;
  next.amqp = current.amqp;
  return changed_keys;
}

}  // namespace

nlohmann::json read_configuration_file(const std::string& path) {
  if (path.empty())
    throw config::ConfigError("configuration: BALANCER_CONFIG: not set, and no file was named");
  return config::read_json_file(path);
}

ReloadableConfiguration::ReloadableConfiguration(std::string path) : path_(std::move(path)) {
  nlohmann::json file = read_configuration_file(path_);
  current_ = parse_configuration(file);
  required_keys_ = config::outline(std::move(file));
}

ReloadableConfiguration::Replacement ReloadableConfiguration::read_replacement() const {
  nlohmann::json file = read_configuration_file(path_);
  config::check_replacement(required_keys_, file);
  auto next = parse_configuration(file);
  if (next->xds.has_value() != current_->xds.has_value())
    throw config::ConfigError("configuration: xds: can be added or removed only at a start");
  return {std::move(file), std::move(next)};
}

std::vector<std::string> ReloadableConfiguration::apply(Replacement replacement) {
  std::vector<std::string> changed_keys = retain_startup_settings(*current_, *replacement.config);
  current_ = std::move(replacement.config);
  required_keys_ = config::outline(std::move(replacement.file));
  return changed_keys;
}

}  // namespace lotusyard
