#include "control/config.h"

#include <algorithm>
#include <initializer_list>

#include "config/config.h"
#include "config/json_read.h"
#include "net/socket.h"

namespace lotusyard::control {
namespace {

using nlohmann::json;

constexpr std::size_t kLongestNodeName = 64;  // as of a group's member

[[noreturn]] void fault(const std::string& name, const std::string& what) {
  throw config::ConfigError("configuration: control." + name + ": " + what);
}

void check_keys(const json& from, const std::string& path, std::initializer_list<const char*> known) {
  for (const auto& [key, value] : from.items()) {
    const auto same = [&key = key](const char* name) { return key == name; };
    if (std::none_of(known.begin(), known.end(), same))
      fault(path + key, "no such key");
  }
}

// The part; null: the file has none.
const json& control_part(const json& file) {
  const json& from = config::key(file, "control");
  if (!from.is_null() && !from.is_object())
    throw config::ConfigError("configuration: control: an object is needed");
  return from;
}

// At most as long as messages carry it. `missing` null: it must be there.
std::string text(const json& from, const char* name, const std::string& path, const std::string* missing) {
  const json& value = config::key(from, name);
  if (value.is_null() && missing != nullptr)
    return *missing;
  if (!value.is_string() || value.get_ref<const std::string&>().empty())
    fault(path, "a text is needed");
  const std::string out = value.get<std::string>();
  if (out.size() > longest_name)
    fault(path, "at most " + std::to_string(longest_name) + " bytes");
  return out;
}

std::string node_name(const json& from, const std::string& path) {
  const std::string out = text(from, "name", path, nullptr);
  const auto plain = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  if (out.size() > kLongestNodeName || !std::all_of(out.begin(), out.end(), plain))
    fault(path, "at most 64 letters, digits, '-', '_' and '.'");
  return out;
}

std::string address(const json& from, const char* name, const std::string& path, const std::string* missing) {
  const std::string out = text(from, name, path, missing);
  if (!net::valid_address(out))
    fault(path, "no numeric address with a port: '" + out + "'");
  return out;
}

// A zone's or region's name, which may be empty.
std::string place(const json& from, const char* name, const std::string& path, const std::string& missing) {
  const json& value = config::key(from, name);
  if (value.is_string() && value.get_ref<const std::string&>().empty())
    return {};
  return text(from, name, path, &missing);
}

double number(const json& from, const char* name, double missing, double least, double most) {
  const json& value = config::key(from, name);
  if (value.is_null())
    return missing;
  if (!value.is_number() || !(value.get<double>() >= least && value.get<double>() <= most))
    fault(name, "must lie between " + json(least).dump() + " and " + json(most).dump());
  return value.get<double>();
}

std::size_t whole(const json& from, const char* name, std::size_t missing, std::size_t least,
                  std::size_t most) {
  const json& value = config::key(from, name);
  if (!value.is_null() && !value.is_number_integer())
    fault(name, "a whole number is needed");
  return static_cast<std::size_t>(number(from, name, static_cast<double>(missing), static_cast<double>(least),
                                         static_cast<double>(most)));
}

NodeAddress read_node(const json& from, const std::string& path) {
  if (!from.is_object())
    fault(path, "an object is needed");
  check_keys(from, path + ".", {"name", "address", "zone", "region"});
  NodeAddress out;
  out.name = node_name(from, path + ".name");
  out.address = address(from, "address", path + ".address", nullptr);
  out.zone = place(from, "zone", path + ".zone", "");
  out.region = place(from, "region", path + ".region", "");
  return out;
}

std::vector<NodeAddress> read_nodes(const json& from) {
  std::vector<NodeAddress> out;
  const json& nodes = config::key(from, "nodes");
  if (nodes.is_null())
    return out;
  if (!nodes.is_array())
    fault("nodes", "a list is needed");
  if (nodes.size() > most_nodes_told)
    fault("nodes", "at most " + std::to_string(most_nodes_told));
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const std::string path = "nodes[" + std::to_string(i) + "]";
    NodeAddress node = read_node(nodes[i], path);
    for (const auto& other : out) {
      if (other.name == node.name)
        fault(path + ".name", node.name + " stands twice");
      if (other.address == node.address)
        fault(path + ".address", node.address + " stands twice");
    }
    out.push_back(std::move(node));
  }
  return out;
}

// The node's own entry in `nodes` gives the defaults, so that all nodes can have the same list.
NodeAddress read_self(const json& from, const NodeAddress& otherwise) {
  NodeAddress out;
  out.name = otherwise.name;
  out.address = address(from, "address", "address", &otherwise.address);
  out.zone = place(from, "zone", "zone", otherwise.zone);
  out.region = place(from, "region", "region", otherwise.region);
  return out;
}

Millis offline(const json& from) {
  return Millis(number(from, "offline_ms", raft::LeaseTerms().max_offline.count(), 0, 1e9));
}

raft::LeaseTerms read_terms(const json& from, Millis longest_deadline) {
  const double longest = longest_deadline.count();
  raft::LeaseTerms out;
  out.lease = Millis(number(from, "lease_ms", out.lease.count(), 200, 600000));
  out.clock_drift = number(from, "drift", out.clock_drift, 0, 0.2);
  // The nodes count on it that no call here outlasts it.
  out.max_attempt_time = Millis(number(from, "last_call_ms", longest, longest, std::max(longest, 600000.0)));
  out.max_offline = offline(from);
  return out;
}

}  // namespace

std::optional<NodeConfig> read_node_config(const json& file, const raft::Config& group) {
  const json& from = control_part(file);
  if (from.is_null())
    return std::nullopt;
  check_keys(from, "",
             {"listen", "address", "zone", "region", "sessions", "opens_per_second", "offline_ms", "nodes"});
  if (!group.serves)
    throw config::ConfigError("configuration: group.serves: a control node must serve");
  if (group.cluster.size() > longest_name)
    throw config::ConfigError("configuration: group.cluster: at most " + std::to_string(longest_name) +
                              " bytes for a control node");
  NodeConfig out;
  out.listen = address(from, "listen", "listen", nullptr);
  NodeAddress self{group.member, out.listen, "", ""};
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
      fault("address", node.address + " is the address of " + node.name);
  }
  out.sessions.sessions = whole(from, "sessions", out.sessions.sessions, 1, 100000);
  out.offline = offline(from);
  out.sessions.opens_per_second = number(from, "opens_per_second", out.sessions.opens_per_second, 1, 1e6);
  return out;
}

std::optional<InvokerConfig> read_invoker_config(const json& file, Millis longest_deadline) {
  const json& from = control_part(file);
  if (from.is_null() || !config::key(file, "group").is_null())
    return std::nullopt;
  check_keys(from, "",
             {"cluster", "nodes", "zone", "region", "lease_ms", "drift", "last_call_ms", "offline_ms"});
  InvokerConfig out;
  out.cluster = text(from, "cluster", "cluster", nullptr);
  out.nodes = read_nodes(from);
  if (out.nodes.empty())
    fault("nodes", "at least one is needed");
  out.zone = place(from, "zone", "zone", "");
  out.region = place(from, "region", "region", "");
  out.terms = read_terms(from, longest_deadline);
  return out;
}

}  // namespace lotusyard::control
