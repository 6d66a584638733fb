// Tracks which hosts this member avoids because of maintenance, and derives its observations of hosts.
// Does no I/O; the time is passed in.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/listed_host.h"
#include "maintenance/host_observer.h"
#include "maintenance/maintenance_state.h"

namespace lotusyard::maintenance {

// Retains the avoided hosts between updates, to detect whether a host that returns was restarted or released
// to operators in the meantime.
class DrainTracker {
 public:
  using Listed = std::map<std::string, core::ListedHost>;  // hosts known from discovery, by id

  // What an update changed.
  struct Change {
    std::set<std::string> avoided;             // all hosts avoided from now on
    std::set<std::string> restart_slow_start;  // no longer avoided; their instances may be gone
    std::vector<std::string> log_lines;
  };

  // Recomputes the avoided hosts from the replicated state. Without a lease (`leased` false) hosts that are
  // only selected are avoided too.
  Change update(const MaintenanceState& state, bool leased, const Listed& listed);
  bool is_avoided(const std::string& host) const { return avoided_.count(host) != 0; }

  // This member's observations: serving value, failed, restarted and returned hosts. `disabled` are the hosts
  // that an operator has disabled by hand. The call rates are left at zero.
  HostObservations observe(const MaintenanceState& state, const HostObserver& observer, const Listed& listed,
                           const std::set<std::string>& disabled, Millis now);

 private:
  struct AvoidedHost {
    Millis started{0};      // the host's start time in discovery when it was first avoided
    bool vanished = false;  // whether it has been missing from discovery since
  };
  std::map<std::string, AvoidedHost> avoided_;
  std::set<std::string> released_to_operators_;
};

}  // namespace lotusyard::maintenance
