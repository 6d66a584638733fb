#include "hosts/reachable_hosts.h"

#include <algorithm>

namespace lotusyard::hosts {

bool ReachableHosts::allows(const std::string& tenant, std::uint64_t function, const std::string& host) {
  if (!is_allowed_by_next(tenant, function, host))
    return false;
  const bool trusts_all_hosts = readiness_.trusts_all_hosts();
  if (trusts_all_hosts && !services_.in_local_trouble())
    return true;
  const auto found = hosts_.find(host);
  if (found == hosts_.end())
    return trusts_all_hosts;
  if (!trusts_all_hosts && !readiness_.may_choose(found->second))
    return false;
  if (!services_.in_local_trouble() || found->second.has_open_connection())
    return true;
  return std::none_of(hosts_.begin(), hosts_.end(), [&](const auto& other) {
    return other.second.is_reachable() && is_allowed_by_next(tenant, function, other.first);
  });
}

}  // namespace lotusyard::hosts
