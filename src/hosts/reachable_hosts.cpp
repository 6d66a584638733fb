#include "hosts/reachable_hosts.h"

#include <algorithm>

namespace lotusyard::hosts {

bool ReachableHosts::allows(const std::string& tenant, std::uint64_t function, const std::string& host) {
  if (!is_allowed_by_next(tenant, function, host))
    return false;
  const bool may_choose_all = readiness_.may_choose_all();
  if (may_choose_all && !services_.is_connecting_impaired())
    return true;
  const auto found = hosts_.find(host);
  if (found == hosts_.end())
    return may_choose_all;
  if (!may_choose_all && !readiness_.may_choose(found->second))
    return false;
  if (!services_.is_connecting_impaired() || found->second.has_open_connection())
    return true;
  return std::none_of(hosts_.begin(), hosts_.end(), [&](const auto& other) {
    return other.second.is_reachable() && is_allowed_by_next(tenant, function, other.first);
  });
}

}  // namespace lotusyard::hosts
