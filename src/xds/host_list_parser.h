// Parses Envoy's Cluster and ClusterLoadAssignment resources, as JSON, into an endpoint list.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "core/listed_host.h"

namespace lotusyard::xds {

// Why a file does not give an endpoint list.
struct HostListError {
  std::string reason;
};

using HostListResult = std::variant<core::HostListUpdate, HostListError>;

// Returns the endpoints of one cluster as a complete list. A file with one faulty endpoint is rejected
// entirely: the hosts that are missing in a partial list would count as removed.
HostListResult parse_host_list(const nlohmann::json& file, const std::string& cluster);

}  // namespace lotusyard::xds
