#include "hosts/reachable_hosts.h"

#include <algorithm>

namespace lotusyard::hosts {

bool ReachableHosts::allows(const std::string& tenant, std::uint64_t function, const std::string& host) {
  if (!is_allowed_by_next(tenant, function, host))
    return false;
  if (!services_.in_local_trouble())
    return true;
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || found->second.has_open_connection())
    return true;
  return std::none_of(hosts_.begin(), hosts_.end(), [&](const auto& other) {
    return other.second.is_reachable() && is_allowed_by_next(tenant, function, other.first);
  });
}

}  // namespace lotusyard::hosts
