// The configuration of an invoker: its defaults, and the functions that read and check it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "amqp/topology.h"
#include "config/config_error.h"
#include "lotusyard/policy/policy.h"

namespace lotusyard::config {

// Calls from AMQP queues; off unless the file has a section `amqp`.
struct AmqpConfig {
  std::vector<std::string> brokers;  // addresses, tried in this order
  std::string user = "guest";
  std::string password = "guest";
  std::string vhost = "/";
  std::vector<std::string> queues;
  amqp::Topology topology;
  std::uint16_t prefetch = 32;
  std::uint16_t heartbeat_s = 10;
  std::size_t body_kb = 16;
  std::size_t open_calls = 256;
  std::size_t remembered = 10000;  // deliveries whose results are cached
  std::size_t remembered_mb = 16;
  std::string store;  // path of the durable results; empty: none
  std::size_t store_days = 7;
  std::size_t store_mb = 64;
  std::size_t store_records = 100000;
  bool sole_consumer = false;
};

// The endpoint list from a file in Envoy's format, in place of the discovery stream.
struct XdsConfig {
  std::string file;
  std::string cluster;
  policy::Millis reread{500};  // interval between two reads of the file
};

struct Config {
  std::string name;
  std::string listen;     // address for clients; empty if all calls come from AMQP
  std::string changelog;  // address of the discovery stream; empty with `xds`
  std::string console;    // address of the admin endpoint; empty: none
  int listen_fd = -1;     // a listening socket that was inherited; -1: none
  std::optional<AmqpConfig> amqp;
  std::optional<XdsConfig> xds;
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  std::uint64_t known_seq = 0;                            // of the last discovery event before the start
  nlohmann::json known_events = nlohmann::json::array();  // the discovery events up to it
  policy::Settings settings;
  policy::Millis connection_idle{15000};         // time-out of an idle connection to a host
  std::size_t max_attempts_per_connection = 32;  // in flight on one connection to a host
  std::vector<std::string> report_fields;
};

// Values from environment variables. They apply where the file has none, except `listen_fd`, which is never
// read from the file.
struct Environment {
  std::string name;
  std::string listen;
  std::string console;
  std::string listen_fd;
};

// Throws a ConfigError for the first faulty key.
Config read_config(const nlohmann::json& file, const Environment& environment);

// Throws a ConfigError if the file cannot be read or holds no JSON object.
nlohmann::json read_json_file(const std::string& path);

}  // namespace lotusyard::config
