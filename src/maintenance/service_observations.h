// The members' observations of hosts and calls, combined.
#pragma once

#include <string>

#include "maintenance/maintenance_state.h"
#include "raft/lease.h"

namespace lotusyard::maintenance {

// A view of the state as of one point in time; the state must outlive it. Only serving members that have
// reported and are not presumed dead count.
class ServiceObservations {
 public:
  ServiceObservations(const MaintenanceState& state, const raft::LeaseTerms& terms, Millis now)
      : state_(state), terms_(terms), now_(now) {}

  // The share of all calls that fail, 0 to 1.
  double failed_share() const;
  // The value that the host serves, in priority weight per second.
  double serving_value(const std::string& host) const;
  // A text for operators if a host is down that is not unavailable for a job, or if no member reports;
  // otherwise empty.
  std::string unexpected_failure() const;

 private:
  const MaintenanceState& state_;
  const raft::LeaseTerms& terms_;
  Millis now_;

  bool is_reporting(const MemberProgress& member) const;
};

}  // namespace lotusyard::maintenance
