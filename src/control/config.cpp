#include "control/config.h"

#include <algorithm>
#include <initializer_list>

#include "config/config.h"
#include "config/json_read.h"
#include "net/socket.h"

namespace lotusyard::control {
namespace {

using nlohmann::json;

// Bounds of the settings.
constexpr double kMinLeaseMillis = 200;
constexpr double kMaxLeaseMillis = 600000;
constexpr double kMaxCallMillis = 600000;
constexpr double kMaxOfflineMillis = 1e9;
constexpr double kMaxDrift = 0.2;
constexpr double kMaxOpensPerSecond = 1e6;
constexpr std::size_t kMaxSessions = 100000;
constexpr std::size_t kMaxNodeNameBytes = 64;  // as for the members of a group

[[noreturn]] void fail(const std::string& key, const std::string& reason) {
  throw config::ConfigError("configuration: control." + key + ": " + reason);
}

void check_keys(const json& from, const std::string& path, std::initializer_list<const char*> known) {
  for (const auto& [key, value] : from.items()) {
    const auto same = [&key = key](const char* name) { return key == name; };
    if (std::none_of(known.begin(), known.end(), same))
      fail(path + key, "no such key");
  }
}

// Null: the file has no such section.
const json& control_section(const json& file) {
  const json& from = config::key(file, "control");
  if (!from.is_null() && !from.is_object())
    throw config::ConfigError("configuration: control: an object is needed");
  return from;
}

// At most as long as a message can carry. `fallback` is the value of a missing key; null: the key is
// required.
std::string read_text(const json& from, const char* name, const std::string& path,
                      const std::string* fallback) {
  const json& value = config::key(from, name);
  if (value.is_null() && fallback != nullptr)
    return *fallback;
  if (!value.is_string() || value.get_ref<const std::string&>().empty())
    fail(path, "a text is needed");
  std::string out = value.get<std::string>();
  if (out.size() > kMaxNameBytes)
    fail(path, "at most " + std::to_string(kMaxNameBytes) + " bytes");
  return out;
}

// Independent of the locale.
bool is_plain(char character) {
  const bool is_letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool is_digit = character >= '0' && character <= '9';
  return is_letter || is_digit || character == '-' || character == '_' || character == '.';
}

std::string read_node_name(const json& from, const std::string& path) {
  std::string out = read_text(from, "name", path, nullptr);
  if (out.size() > kMaxNodeNameBytes || !std::all_of(out.begin(), out.end(), is_plain))
    fail(path, "at most 64 letters, digits, '-', '_' and '.'");
  return out;
}

std::string read_address(const json& from, const char* name, const std::string& path,
                         const std::string* fallback) {
  std::string out = read_text(from, name, path, fallback);
  if (!net::valid_address(out))
    fail(path, "no numeric address with a port: '" + out + "'");
  return out;
}

// A zone's or region's name, which may be empty.
std::string read_location(const json& from, const char* name, const std::string& path,
                          const std::string& fallback) {
  const json& value = config::key(from, name);
  if (value.is_string() && value.get_ref<const std::string&>().empty())
    return {};
  return read_text(from, name, path, &fallback);
}

double read_number(const json& from, const char* name, double fallback, double min, double max) {
  const json& value = config::key(from, name);
  if (value.is_null())
    return fallback;
  if (!value.is_number() || !(value.get<double>() >= min && value.get<double>() <= max))
    fail(name, "must lie between " + json(min).dump() + " and " + json(max).dump());
  return value.get<double>();
}

std::size_t read_integer(const json& from, const char* name, std::size_t fallback, std::size_t min,
                         std::size_t max) {
  const json& value = config::key(from, name);
  if (!value.is_null() && !value.is_number_integer())
    fail(name, "a whole number is needed");
  return static_cast<std::size_t>(read_number(from, name, static_cast<double>(fallback),
                                              static_cast<double>(min), static_cast<double>(max)));
}

NodeAddress read_node(const json& from, const std::string& path) {
  if (!from.is_object())
    fail(path, "an object is needed");
  check_keys(from, path + ".", {"name", "address", "zone", "region"});
  NodeAddress out;
  out.name = read_node_name(from, path + ".name");
  out.address = read_address(from, "address", path + ".address", nullptr);
  out.zone = read_location(from, "zone", path + ".zone", "");
  out.region = read_location(from, "region", path + ".region", "");
  return out;
}

void check_distinct(const NodeAddress& node, const std::vector<NodeAddress>& others,
                    const std::string& path) {
  for (const NodeAddress& other : others) {
    if (other.name == node.name)
      fail(path + ".name", node.name + " occurs twice");
    if (other.address == node.address)
      fail(path + ".address", node.address + " occurs twice");
  }
}

std::vector<NodeAddress> read_nodes(const json& from) {
  std::vector<NodeAddress> out;
  const json& nodes = config::key(from, "nodes");
  if (nodes.is_null())
    return out;
  if (!nodes.is_array())
    fail("nodes", "a list is needed");
  if (nodes.size() > kMaxNodesInMessage)
    fail("nodes", "at most " + std::to_string(kMaxNodesInMessage));
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const std::string path = "nodes[" + std::to_string(i) + "]";
    NodeAddress node = read_node(nodes[i], path);
    check_distinct(node, out, path);
    out.push_back(std::move(node));
  }
  return out;
}

// The node's own entry in `nodes` is the fallback, so that all nodes can have the same list.
NodeAddress read_self(const json& from, const NodeAddress& fallback) {
  NodeAddress out;
  out.name = fallback.name;
  out.address = read_address(from, "address", "address", &fallback.address);
  out.zone = read_location(from, "zone", "zone", fallback.zone);
  out.region = read_location(from, "region", "region", fallback.region);
  return out;
}

Millis read_offline(const json& from) {
  return Millis(
      read_number(from, "offline_ms", raft::LeaseTerms().max_offline.count(), 0, kMaxOfflineMillis));
}

raft::LeaseTerms read_terms(const json& from, Millis max_deadline) {
  const double min_call = max_deadline.count();
  raft::LeaseTerms out;
  out.lease = Millis(read_number(from, "lease_ms", out.lease.count(), kMinLeaseMillis, kMaxLeaseMillis));
  out.clock_drift = read_number(from, "drift", out.clock_drift, 0, kMaxDrift);
  // Nodes rely on no call of this invoker lasting longer.
  out.max_attempt_time =
      Millis(read_number(from, "last_call_ms", min_call, min_call, std::max(min_call, kMaxCallMillis)));
  out.max_offline = read_offline(from);
  return out;
}

void check_group(const raft::Config& group) {
  if (!group.serves)
    throw config::ConfigError("configuration: group.serves: a control node must serve");
  if (group.cluster.size() > kMaxNameBytes)
    throw config::ConfigError("configuration: group.cluster: at most " + std::to_string(kMaxNameBytes) +
                              " bytes for a control node");
}

// Reads the own address and those of the other nodes.
void read_addresses(const json& from, const std::string& member, NodeConfig& out) {
  NodeAddress self{member, out.listen, "", ""};
  for (auto& node : read_nodes(from)) {
    if (node.name == self.name) {
      self = node;
    } else {
      out.nodes.push_back(std::move(node));
    }
  }
  out.self = read_self(from, self);
  for (const auto& node : out.nodes) {
    if (node.address == out.self.address)
      fail("address", node.address + " is the address of " + node.name);
  }
}

}  // namespace

std::optional<NodeConfig> read_node_config(const json& file, const raft::Config& group) {
  const json& from = control_section(file);
  if (from.is_null())
    return std::nullopt;
  check_keys(from, "",
             {"listen", "address", "zone", "region", "sessions", "opens_per_second", "offline_ms", "nodes"});
  check_group(group);
  NodeConfig out;
  out.listen = read_address(from, "listen", "listen", nullptr);
  read_addresses(from, group.member, out);
  SessionTable::Limits& limits = out.sessions;
  limits.max_sessions = read_integer(from, "sessions", limits.max_sessions, 1, kMaxSessions);
  out.offline = read_offline(from);
  limits.opens_per_second =
      read_number(from, "opens_per_second", limits.opens_per_second, 1, kMaxOpensPerSecond);
  return out;
}

std::optional<InvokerConfig> read_invoker_config(const json& file, Millis max_deadline) {
  const json& from = control_section(file);
  if (from.is_null() || !config::key(file, "group").is_null())
    return std::nullopt;
  check_keys(from, "",
             {"cluster", "nodes", "zone", "region", "lease_ms", "drift", "last_call_ms", "offline_ms"});
  InvokerConfig out;
  out.cluster = read_text(from, "cluster", "cluster", nullptr);
  out.nodes = read_nodes(from);
  if (out.nodes.empty())
    fail("nodes", "at least one is needed");
  out.zone = read_location(from, "zone", "zone", "");
  out.region = read_location(from, "region", "region", "");
  out.terms = read_terms(from, max_deadline);
  return out;
}

}  // namespace lotusyard::control
