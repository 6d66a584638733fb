// Up to which index of the log every invoker has followed that may use hosts at all, also those without a
// lease. An invoker goes on without one for a stated time, then it uses no host; so an index holds here once
// all sessions have applied it, if none is unaccounted for, or once the leased sessions had all applied it
// that long ago. No I/O; the time is passed in.
#pragma once

#include <deque>

#include "control/message.h"

namespace lotusyard::control {

class OfflineFloor {
 public:
  // `accounted_from`: leases that are not known of here, of an earlier process of the node, may have lasted
  // until then.
  OfflineFloor(const raft::LeaseTerms& terms, Millis accounted_from);

  // A session whose lease ended then is forgotten, and its invoker did not say that it ends.
  void vanished(Millis lease_ended);
  // All sessions with a lease have applied everything up to there, and none will be granted one with less.
  void reported(Index applied, Millis now);
  // `known`: what all sessions that are known of have applied.
  Index followed(Index known, Millis now);

 private:
  struct Mark {
    Millis at{0};
    Index applied = 0;
  };
  Millis offline_;  // by the node's clock, drift included
  Millis accounted_from_, unaccounted_until_;
  std::deque<Mark> marks_;  // what was reported and when, oldest first
  Index long_ago_ = 0;      // what was reported long enough ago
};

}  // namespace lotusyard::control
