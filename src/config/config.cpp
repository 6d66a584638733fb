#include "config/config.h"

#include <fstream>
#include <random>

#include "config/json_read.h"
#include "config/sections.h"
#include "net/fields.h"

namespace lotusyard::config {
namespace {

constexpr std::uint64_t kMaxDescriptor = 1000000;

int parse_descriptor(const std::string& text) {
  const auto descriptor = net::parse_whole(text, kMaxDescriptor);
  if (!descriptor)
    throw ConfigError("BALANCER_LISTEN_FD", "not a descriptor number: '" + text + "'");
  return static_cast<int>(*descriptor);
}

std::uint64_t random_seed() {
  std::random_device source;
  return static_cast<std::uint64_t>(source()) << 32 | source();
}

std::uint64_t read_seed(const Section& file) {
  const json& value = file["seed"];
  if (value.is_null() && file.has("amqp"))
    return random_seed();  // an operator's file needs no seed
  if (value.is_number_unsigned())
    return value.get<std::uint64_t>();
  const auto seed = value.is_string() ? net::parse_hex16(value.get<std::string>()) : std::nullopt;
  if (!seed)
    file.fail("seed", "16 hex digits are needed");
  return *seed;
}

// Calls come from AMQP, from connections or from both.
void read_listeners(const Section& file, const Environment& environment, Config& config) {
  const bool listens = !config.amqp || file.has("listen");
  if (listens)
    config.listen = file.address("listen", environment.listen);
  if (!environment.listen_fd.empty())
    config.listen_fd = parse_descriptor(environment.listen_fd);
  const bool has_admin_endpoint = file.has("console") || !environment.console.empty();
  if (has_admin_endpoint)
    config.console = file.address("console", environment.console);
}

}  // namespace

nlohmann::json read_json_file(const std::string& path) {
  std::ifstream input(path);
  if (!input)
    throw ConfigError(path, "cannot be read");
  auto file = json::parse(input, nullptr, false);
  if (!file.is_object())
    throw ConfigError(path, "holds no JSON object");
  return file;
}

Config read_config(const nlohmann::json& file, const Environment& environment) {
  const Section sections(file);
  Config config;
  config.name = sections["name"].is_string() ? text(sections["name"]) : environment.name;
  if (sections.has("amqp"))
    config.amqp = read_amqp(sections.child("amqp"));
  if (sections.has("xds"))
    config.xds = read_xds(sections.child("xds"));
  read_listeners(sections, environment, config);
  if (!config.xds)
    config.changelog = sections.address("changelog", "");
  config.seed = read_seed(sections);
  read_limits(sections.child("limits"), config);
  read_known_events(sections.child("known"), config);
  read_platform_settings(sections.child("settings"), config);
  return config;
}

}  // namespace lotusyard::config
