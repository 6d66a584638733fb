// The usual share of failed calls, by which the scheduler detects that service degrades. Does no I/O; the
// time is passed in.
#pragma once

#include "lotusyard/policy/policy.h"

namespace lotusyard::maintenance {

using policy::Millis;

// An exponential moving average. Shares are between 0 and 1.
class FailureBaseline {
 public:
  // Records the current share. While maintenance is in progress (`undisturbed` false) only a share below the
  // average is averaged in: failures caused by the maintenance itself must not enter the baseline.
  void update(double share, bool undisturbed, Millis now);
  // Whether the share is so far above the baseline that no further host may be drained.
  bool is_exceeded_by(double share) const;
  double share() const { return share_; }

 private:
  double share_ = 0;
  Millis updated_at_{0};
};

}  // namespace lotusyard::maintenance
