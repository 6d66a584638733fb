#include "xds/host_list_parser.h"

#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "config/json_read.h"
#include "net/socket.h"

namespace lotusyard::xds {
namespace {

using config::key;
using config::text;
using core::HostState;
using nlohmann::json;

constexpr std::string_view kAssignmentType = "ClusterLoadAssignment";
constexpr std::size_t kMaxPrintedEndpointBytes = 200;

// Numbers of envoy.config.core.v3.HealthStatus.
enum HealthStatus { unknown = 0, healthy = 1, unhealthy = 2, draining = 3, timeout = 4, degraded = 5 };

// A field of a protobuf message. Its JSON form may use either name.
const json& field(const json& object, const char* snake_case, const char* camel_case) {
  const json& found = key(object, snake_case);
  return found.is_null() ? key(object, camel_case) : found;
}

bool is_assignment(const json& resource) {
  const std::string type = text(key(resource, "@type"));
  if (type.empty())
    return !field(resource, "cluster_name", "clusterName").is_null();
  return type.size() >= kAssignmentType.size() &&
         type.compare(type.size() - kAssignmentType.size(), kAssignmentType.size(), kAssignmentType) == 0;
}

// Only hosts that are unknown, healthy or degraded get new calls; those in UNHEALTHY or TIMEOUT do not.
HostState read_state(const json& endpoint) {
  const json& health = field(endpoint, "health_status", "healthStatus");
  bool takes_calls = false;
  if (health.is_number()) {
    const int code = config::whole(health);
    takes_calls = code == unknown || code == healthy || code == degraded;
  } else {
    const std::string name = text(health);
    takes_calls = name.empty() || name == "UNKNOWN" || name == "HEALTHY" || name == "DEGRADED";
  }
  return takes_calls ? HostState::ready : HostState::draining;
}

// Empty if the endpoint has no numeric address with a port.
std::string read_address(const json& endpoint) {
  const json& socket = field(key(key(endpoint, "endpoint"), "address"), "socket_address", "socketAddress");
  const std::string host = text(key(socket, "address"));
  const int port = config::whole(field(socket, "port_value", "portValue"));
  const bool is_ipv6 = host.find(':') != std::string::npos;
  const std::string address = (is_ipv6 ? '[' + host + ']' : host) + ':' + std::to_string(port);
  return port > 0 && net::valid_address(address) ? address : std::string();
}

// The resources of a file, which may hold a list of them or a single one.
std::vector<const json*> resources_of(const json& file) {
  const json& listed = key(file, "resources");
  const json& resources = listed.is_array() ? listed : file;
  if (!resources.is_array())
    return {&resources};
  std::vector<const json*> all;
  for (const auto& resource : resources)
    all.push_back(&resource);
  return all;
}

// Where the endpoints of a cluster are listed.
struct ClusterSource {
  const json* inline_assignment = nullptr;
  std::string service_name;  // of the ClusterLoadAssignment to use if there is none inline
};

// The last of several Cluster resources with the same name is used. Without one, the service has the name of
// the cluster.
ClusterSource find_cluster(const std::vector<const json*>& resources, const std::string& cluster) {
  ClusterSource source{nullptr, cluster};
  for (const json* resource : resources) {
    if (is_assignment(*resource) || text(key(*resource, "name")) != cluster)
      continue;
    const json& assignment = field(*resource, "load_assignment", "loadAssignment");
    if (assignment.is_object())
      source.inline_assignment = &assignment;
    const json& eds = field(*resource, "eds_cluster_config", "edsClusterConfig");
    const std::string service_name = text(field(eds, "service_name", "serviceName"));
    if (!service_name.empty())
      source.service_name = service_name;
  }
  return source;
}

// Null if there is none. The last of several is used.
const json* find_assignment(const json& file, const std::string& cluster) {
  const auto resources = resources_of(file);
  const ClusterSource source = find_cluster(resources, cluster);
  if (source.inline_assignment != nullptr)
    return source.inline_assignment;
  const json* assignment = nullptr;
  for (const json* resource : resources) {
    const std::string name = text(field(*resource, "cluster_name", "clusterName"));
    if (is_assignment(*resource) && name == source.service_name)
      assignment = resource;
  }
  return assignment;
}

// Returns nothing if the endpoint has no usable address.
std::optional<core::ListedHost> read_host(const json& endpoint, const std::string& zone) {
  core::ListedHost host;
  host.address = read_address(endpoint);
  if (host.address.empty())
    return std::nullopt;
  host.entry.host = host.address;
  host.entry.state = read_state(endpoint);
  host.entry.zone = zone;
  host.entry.weight = config::number(field(endpoint, "load_balancing_weight", "loadBalancingWeight"), 1);
  const json& metadata = field(key(endpoint, "metadata"), "filter_metadata", "filterMetadata");
  host.entry.kind = text(key(key(metadata, "lotusyard"), "kind"));
  return host;
}

}  // namespace

HostListResult parse_host_list(const json& file, const std::string& cluster) {
  const json* assignment = find_assignment(file, cluster);
  if (assignment == nullptr)
    return HostListError{"no endpoints of cluster '" + cluster + "'"};
  core::HostListUpdate list;
  list.complete = true;
  std::set<std::string> addresses;
  for (const auto& locality : key(*assignment, "endpoints")) {
    const std::string zone = text(key(key(locality, "locality"), "zone"));
    for (const auto& endpoint : field(locality, "lb_endpoints", "lbEndpoints")) {
      auto host = read_host(endpoint, zone);
      if (!host || !addresses.insert(host->address).second) {
        return HostListError{
            "endpoint without a numeric address and port, or with those of another endpoint: " +
            endpoint.dump().substr(0, kMaxPrintedEndpointBytes)};
      }
      list.hosts.push_back(std::move(*host));
    }
  }
  return list;
}

}  // namespace lotusyard::xds
