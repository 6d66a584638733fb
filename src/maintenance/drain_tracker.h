// Which hosts this member leaves alone for works, and what it sees of hosts beside that. No I/O; the time is
// passed in.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/listed_host.h"
#include "maintenance/host_observer.h"
#include "maintenance/maintenance_state.h"

namespace lotusyard::maintenance {

class DrainTracker {
 public:
  using Listed = std::map<std::string, core::ListedHost>;
  struct Change {
    std::set<std::string> avoided, restart_slow_start;  // anew: used again from now on, and cold
    std::vector<std::string> log_lines;                 // for the log
  };
  // What the board says, with its lease or without.
  Change update(const MaintenanceState& board, bool leased, const Listed& listed);
  bool is_avoided(const std::string& host) const { return avoided_.count(host) != 0; }

  // What this member sees of hosts: what each costs, which fail, start anew, serve again.
  HostObservations observe(const MaintenanceState& board, const HostObserver& watch, const Listed& listed,
                           const std::set<std::string>& by_hand, Millis now);

 private:
  struct AvoidedHost {
    Millis started{0};      // as listed when it was taken
    bool vanished = false;  // it has left the list since
  };
  std::map<std::string, AvoidedHost> avoided_;
  std::set<std::string> released_to_operators_;
};

}  // namespace lotusyard::maintenance
