// Computes the log index that every invoker has reached that may use hosts at all, also those without a
// lease. An invoker continues without a lease for a configured time, and then uses no host. So an index is
// reached once all sessions have applied it, if no invoker is unaccounted for; or once all leased sessions
// had applied it that long ago. No I/O; the time is passed in.
#pragma once

#include <deque>

#include "control/message.h"

namespace lotusyard::control {

class OfflineFloor {
 public:
  // `accounted_from`: leases that are not known here, of an earlier process of the node, may last until then.
  OfflineFloor(const raft::LeaseTerms& terms, Millis accounted_from);

  // A session is forgotten whose lease ended at `lease_ended`, and whose invoker has not closed it.
  void on_session_lost(Millis lease_ended);
  // All sessions with a lease have applied everything up to `applied`, and none with less gets one.
  void on_reported(Index applied, Millis now);
  // `known`: what all known sessions have applied.
  Index followed(Index known, Millis now);

 private:
  struct Report {
    Millis at{0};
    Index applied = 0;
  };
  Millis max_offline_;  // by the node's clock, with the drift included
  Millis accounted_from_;
  Millis unaccounted_until_;
  std::deque<Report> reports_;        // oldest first
  Index applied_before_offline_ = 0;  // reported at least `max_offline_` ago
};

}  // namespace lotusyard::control
