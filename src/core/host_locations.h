// The zone and cell of each host, which determine the hosts that recognise a repeated idempotency key.
#pragma once

#include <string>
#include <unordered_map>

#include "core/policy_input.h"

namespace lotusyard::core {

struct HostLocation {
  std::string zone;
  int cell = 0;
};

// The locations of all hosts on the endpoint list.
class HostLocations {
 public:
  void apply(const HostList& list);
  // Null if the host is not on the list. The result is valid until the next apply().
  const HostLocation* find(const std::string& host) const;

 private:
  std::unordered_map<std::string, HostLocation> locations_;
};

}  // namespace lotusyard::core
