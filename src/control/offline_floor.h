// Computes the log index that has been reached by every invoker that may use hosts, with or without a lease.
// An invoker continues without a lease for a configured time, and then uses no host. So an index is reached
// once all sessions have applied it, if no invoker is unaccounted for; or once all leased sessions had
// applied it that long ago. No I/O; the time is passed in.
#pragma once

#include <deque>

#include "control/message.h"

namespace lotusyard::control {

class OfflineFloor {
 public:
  // `accounted_from`: leases that an earlier process of this node has granted may last until then.
  OfflineFloor(const raft::LeaseTerms& terms, Millis accounted_from);

  // A session was removed whose lease ended at `lease_ended`, and which its invoker has not closed.
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
