// How many hosts may be unavailable for maintenance at the same time. Does no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "maintenance/maintenance_records.h"

namespace lotusyard::maintenance {

// Evaluates the bounds of all jobs together against the hosts in progress. A view: the jobs and hosts must
// outlive it.
class DisruptionBudget {
 public:
  // `listed_hosts` is the number of hosts known from discovery.
  DisruptionBudget(const std::vector<MaintenanceJob>& jobs, const std::map<std::string, HostProgress>& hosts,
                   int listed_hosts)
      : jobs_(jobs), hosts_(hosts), listed_hosts_(listed_hosts) {}

  // The bound that taking `host` out for `job` would exceed, as a text for operators; empty if none. The
  // bounds of `job` and of every job that has hosts out apply.
  std::string exceeded_bound(const MaintenanceJob& job, const HostKey& host) const;
  // The most hosts that may be selected, draining, out or in slow start at once.
  int max_hosts_in_progress() const;
  int hosts_in_progress() const;
  bool has_room() const { return hosts_in_progress() < max_hosts_in_progress(); }

  // The most hosts that may be unavailable if `min_usable_share` of `listed_hosts` must stay usable.
  static int max_unavailable_hosts(double min_usable_share, int listed_hosts);

 private:
  const std::vector<MaintenanceJob>& jobs_;
  const std::map<std::string, HostProgress>& hosts_;
  int listed_hosts_;
};

}  // namespace lotusyard::maintenance
