// Host filter that excludes hosts that are not known to take new work, and prefers those with an open
// connection.
#pragma once

#include <map>
#include <string>

#include "hosts/connection_services.h"
#include "hosts/pooled_host.h"
#include "hosts/readiness_monitor.h"
#include "lotusyard/policy/policy.h"

namespace lotusyard::hosts {

// While this machine may be unable to make connections, excludes hosts without an open one, as long as some
// other host that the call may go to has one. Chains to another filter.
class ReachableHosts final : public policy::HostFilter {
 public:
  ReachableHosts(const ConnectionServices& services, const ReadinessMonitor& readiness,
                 const std::map<std::string, PooledHost>& hosts)
      : services_(services), readiness_(readiness), hosts_(hosts) {}

  // Hosts have to pass `next` as well; null: no other filter.
  void chain(policy::HostFilter* next) { next_ = next; }

  bool allows(const std::string& tenant, std::uint64_t function, const std::string& host) override;

 private:
  bool is_allowed_by_next(const std::string& tenant, std::uint64_t function, const std::string& host) const {
    return next_ == nullptr || next_->allows(tenant, function, host);
  }

  const ConnectionServices& services_;
  const ReadinessMonitor& readiness_;
  const std::map<std::string, PooledHost>& hosts_;
  policy::HostFilter* next_ = nullptr;
};

}  // namespace lotusyard::hosts
