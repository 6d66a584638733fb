#include "xds/hosts.h"

#include <sys/stat.h>

#include <fstream>
#include <set>
#include <tuple>

#include "config/json_read.h"
#include "metrics/host_counters.h"
#include "net/socket.h"

namespace lotusyard::xds {
namespace {

using config::key;
using config::text;
using core::HostState;
using nlohmann::json;

// The JSON form of a protobuf message may name its fields in either way.
const json& either(const json& object, const char* snake, const char* camel) {
  const json& found = key(object, snake);
  return found.is_null() ? key(object, camel) : found;
}

bool is_assignment(const json& resource) {
  const std::string type = text(key(resource, "@type"));
  if (!type.empty())
    return type.size() >= 21 && type.compare(type.size() - 21, 21, "ClusterLoadAssignment") == 0;
  return !either(resource, "cluster_name", "clusterName").is_null();
}

HostState state_of(const json& endpoint) {
  const json& health = either(endpoint, "health_status", "healthStatus");
  if (health.is_number()) {
    const int code = config::whole(health);  // UNKNOWN, HEALTHY, UNHEALTHY, DRAINING, TIMEOUT, DEGRADED
    return code == 0 || code == 1 || code == 5 ? HostState::ready : HostState::draining;
  }
  const std::string name = text(health);
  const bool takes = name.empty() || name == "UNKNOWN" || name == "HEALTHY" || name == "DEGRADED";
  // UNHEALTHY and TIMEOUT too: nothing new goes to what the list does not call able.
  return takes ? HostState::ready : HostState::draining;
}

std::string address_of(const json& endpoint) {
  const json& socket = either(key(key(endpoint, "endpoint"), "address"), "socket_address", "socketAddress");
  const std::string host = text(key(socket, "address"));
  const json& port = either(socket, "port_value", "portValue");
  const std::string joined = (host.find(':') == std::string::npos ? host : '[' + host + ']') + ':' +
                             std::to_string(config::whole(port));
  return net::valid_address(joined) && config::whole(port) > 0 ? joined : std::string();
}

const json* find_assignment(const json& file, const std::string& cluster) {
  const json& listed = key(file, "resources");
  const json& resources = listed.is_array() ? listed : file;
  const json* found = nullptr;
  std::string service = cluster;
  const auto each = [&](const auto& visit) {
    if (!resources.is_array())
      return visit(resources);
    for (const auto& resource : resources)
      visit(resource);
  };
  each([&](const json& r) {
    if (is_assignment(r) || text(key(r, "name")) != cluster)
      return;
    const json& inlined = either(r, "load_assignment", "loadAssignment");
    if (inlined.is_object())
      found = &inlined;
    const json& eds = either(r, "eds_cluster_config", "edsClusterConfig");
    const std::string named = text(either(eds, "service_name", "serviceName"));
    if (!named.empty())
      service = named;
  });
  if (found != nullptr)
    return found;
  each([&](const json& r) {
    if (is_assignment(r) && text(either(r, "cluster_name", "clusterName")) == service)
      found = &r;
  });
  return found;
}

}  // namespace

std::optional<core::HostListUpdate> read_hosts(const json& file, const std::string& cluster,
                                               std::string& fault) {
  const json* assignment = find_assignment(file, cluster);
  if (assignment == nullptr) {
    fault = "no endpoints of cluster '" + cluster + "'";
    return std::nullopt;
  }
  core::HostListUpdate out;
  out.complete = true;
  std::set<std::string> seen;
  for (const auto& group : key(*assignment, "endpoints")) {
    for (const auto& endpoint : either(group, "lb_endpoints", "lbEndpoints")) {
      core::ListedHost member;
      member.address = member.entry.host = address_of(endpoint);
      if (member.address.empty() || !seen.insert(member.address).second) {
        fault =
            "an endpoint without a numeric address and port of its own: " + endpoint.dump().substr(0, 200);
        return std::nullopt;
      }
      member.entry.state = state_of(endpoint);
      member.entry.zone = text(key(key(group, "locality"), "zone"));
      member.entry.weight =
          config::number(either(endpoint, "load_balancing_weight", "loadBalancingWeight"), 1);
      const json& metadata = either(key(endpoint, "metadata"), "filter_metadata", "filterMetadata");
      member.entry.kind = text(key(key(metadata, "lotusyard"), "kind"));
      out.hosts.push_back(std::move(member));
    }
  }
  return out;
}

HostFile::HostFile(net::EventLoop& loop, metrics::Counters& counters, std::string path, std::string cluster,
                   core::Millis pace, Told told)
    : loop_(loop),
      counters_(counters),
      path_(std::move(path)),
      cluster_(std::move(cluster)),
      pace_(pace),
      told_(std::move(told)) {}

std::string HostFile::stamp() const {
  struct stat at {};
  if (stat(path_.c_str(), &at) != 0)
    return {};
  return std::to_string(at.st_ino) + ' ' + std::to_string(at.st_size) + ' ' +
         std::to_string(at.st_mtim.tv_sec) + ' ' + std::to_string(at.st_mtim.tv_nsec);
}

bool HostFile::start(std::string& fault) {
  stamp_ = stamp();
  const bool good = read(fault);
  timer_ = loop_.schedule_at(loop_.now() + pace_, [this] { look(); });
  return good;
}

bool HostFile::move(const std::string& path, const std::string& cluster, std::string& fault) {
  const auto before = std::make_pair(path_, cluster_);
  path_ = path;
  cluster_ = cluster;
  const std::string now = stamp();
  if (!read(fault)) {
    std::tie(path_, cluster_) = before;
    return false;
  }
  stamp_ = now;
  return true;
}

bool HostFile::read(std::string& fault) {
  std::ifstream in(path_);
  const json file = json::parse(in, nullptr, false);
  fault = "cannot be read as JSON";
  auto list = file.is_discarded() ? std::nullopt : read_hosts(file, cluster_, fault);
  if (!list) {
    counters_.add(metrics::kXdsRejected);  // the hosts stay as they were
    return false;
  }
  counters_.add(metrics::kXdsLists);
  std::map<std::string, core::Millis> started;
  for (auto& member : list->hosts) {
    const auto known = started_.find(member.entry.host);
    // One that has just been added is cold, and would be sent a warm host's share.
    member.entry.started = known != started_.end() ? known->second
                           : read_once_            ? loop_.now()
                                                   : core::Millis(0);
    started[member.entry.host] = member.entry.started;
  }
  started_ = std::move(started);
  read_once_ = true;
  told_(*list);
  return true;
}

void HostFile::look() {
  timer_ = loop_.schedule_at(loop_.now() + pace_, [this] { look(); });
  const std::string now = stamp();
  if (now.empty() || now == stamp_)
    return;  // a file that is just being replaced comes back
  stamp_ = now;
  std::string fault;
  read(fault);
}

}  // namespace lotusyard::xds
