#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace lotusyard::policy {

bool Placement::is_warm(const InstanceSet& instances) const {
  if (instances.warm <= 0)
    return false;
  const Millis idle_timeout = context_.settings().host_protocol.instance_idle_timeout;
  return instances.in_flight > 0 || context_.now() - instances.used_at <= idle_timeout ||
         idle_timeout.count() <= 0;
}

void Placement::assign_hosts(Function& function) const {
  const Settings& settings = context_.settings();
  const double calls_per_host = std::min(kCallsPerHost, function.lanes / 2.0);
  const double fleet_demand = functions_.demand(function) * settings.invokers;
  const int wanted = 1 + static_cast<int>(std::min(kMaxAgreedHosts, fleet_demand / calls_per_host));
  if (function.list_version == hosts_.list_version() && wanted == function.agreed_hosts)
    return;
  std::vector<std::pair<std::uint64_t, int>> order;
  for (const auto& host : hosts_) {
    if (host.is_ready())
      order.emplace_back(mix64(function.id ^ host.hash), hosts_.index_of(host));
  }
  std::sort(order.begin(), order.end());
  // The agreed hosts come first, in an order given by this invoker's rank, those of its zone before others.
  constexpr std::uint64_t kHalf = std::numeric_limits<std::uint64_t>::max() / 2;
  const auto agreed = order.begin() + std::min<std::ptrdiff_t>(wanted, static_cast<int>(order.size()));
  for (auto i = order.begin(); i != agreed; ++i) {
    const bool is_remote = hosts_.at(i->second).entry.zone != settings.zone;
    i->first = mix64(i->first + static_cast<std::uint64_t>(settings.rank)) / 2 + (is_remote ? kHalf : 0);
  }
  std::sort(order.begin(), agreed);
  function.hosts.clear();
  for (const auto& [hash, index] : order) {
    function.hosts.push_back(index);
  }
  function.agreed_hosts = wanted;
  function.list_version = hosts_.list_version();
}

void Placement::expire_instances(Function& function) {
  for (auto& instances : function.instances) {
    if (instances.in_flight > 0)
      instances.used_at = context_.now();
    if (!is_warm(instances))
      instances.warm = 0;
    instances.proven = instances.proven && instances.warm > 0;
    // The answer to an order may be lost.
    const Millis timeout(kLoadTimeoutFactor * std::max(functions_.load_time(function), kMinStall.count()));
    const bool timed_out = context_.now() - instances.load_began_at > timeout;
    if (instances.loading > 0 && timed_out)
      functions_.end_load(instances);
  }
  const auto is_empty = [this](const InstanceSet& instances) {
    return instances.warm + instances.loading + instances.in_flight == 0 && !is_absent(instances);
  };
  auto& all = function.instances;
  all.erase(std::remove_if(all.begin(), all.end(), is_empty), all.end());
}

}  // namespace lotusyard::policy
