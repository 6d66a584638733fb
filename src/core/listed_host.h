// A host with its address, as listed by the discovery stream or by an operator's xDS file.
#pragma once

#include <string>
#include <vector>

#include "core/policy_types.h"

namespace lotusyard::core {

struct ListedHost {
  HostEntry entry;
  std::string address;  // numeric, as host:port or [host]:port
};

struct HostListUpdate {
  bool complete = false;  // false: only the hosts that have changed
  std::vector<ListedHost> hosts;
};

}  // namespace lotusyard::core
