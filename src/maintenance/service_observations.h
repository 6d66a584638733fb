// What the members see of the service, combined over all of them.
#pragma once

#include <string>

#include "maintenance/maintenance_state.h"
#include "raft/lease.h"

namespace lotusyard::maintenance {

// A view of the state at one moment, which has to outlive it. Only members whose last observations are recent
// count.
class ServiceObservations {
 public:
  ServiceObservations(const MaintenanceState& state, const raft::LeaseTerms& terms, Millis now)
      : state_(state), terms_(terms), now_(now) {}

  // The part of all calls that fail, 0 to 1.
  double failed_share() const;
  // What the host serves, in priority weight per second.
  double serving_value(const std::string& host) const;
  // A host that is down though no job has it, in words for an operator; empty if all is as expected.
  std::string unexpected_failure() const;

 private:
  const MaintenanceState& state_;
  const raft::LeaseTerms& terms_;
  Millis now_;

  bool is_reporting(const MemberProgress& member) const;
};

}  // namespace lotusyard::maintenance
