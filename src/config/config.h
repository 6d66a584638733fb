// The invoker's configuration: read, checked and given its defaults here and nowhere else.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "amqp/topology.h"
#include "lotusyard/policy/policy.h"

namespace lotusyard::config {

// Its message names the faulty key.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// AMQP triggers, off unless the file has a part `amqp`.
struct AmqpConfig {
  std::vector<std::string> brokers;  // tried in turn
  std::string user = "guest", password = "guest", vhost = "/";
  std::vector<std::string> queues;
  amqp::Topology topology;
  std::uint16_t prefetch = 32, heartbeat_s = 10;
  std::size_t body_kb = 16, open_calls = 256, remembered = 10000, remembered_mb = 16;
  std::string store;  // path of the durable answers; empty: none
  std::size_t store_days = 7, store_mb = 64, store_records = 100000;
  bool sole_consumer = false;
};

// Envoy's list of hosts, in place of the change log.
struct XdsConfig {
  std::string file, cluster;
  policy::Millis reread{500};
};

struct Config {
  std::string name, listen, changelog;  // listen: empty where only triggers bring calls
  std::string console;                  // the admin endpoint; empty: none
  int listen_fd = -1;                   // a listening socket that the platform holds; -1: none
  std::optional<AmqpConfig> amqp;
  std::optional<XdsConfig> xds;
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192, sockets = 1024;
  std::uint64_t known_seq = 0;
  nlohmann::json known_events = nlohmann::json::array();
  policy::Settings settings;
  policy::Millis connection_idle{15000};
  std::size_t attempts_a_link = 32;
  std::vector<std::string> report_fields;
};

// What the environment tells, for what the file leaves out; `listen_fd` stands in the environment alone.
struct Environment {
  std::string name, listen, console, listen_fd;
};
Config read_config(const nlohmann::json& file, const Environment& environment);
nlohmann::json read_json_file(const std::string& path);  // throws ConfigError

}  // namespace lotusyard::config
