// How long the event loop sleeps after a poll(2) that failed.
#pragma once

#include "lotusyard/policy/policy.h"

namespace lotusyard::net {

using policy::Millis;

// Repeated failures must not keep the processor busy, but one or two interruptions by a signal cost no pause.
class PollBackoff {
 public:
  void on_success() { failures_in_a_row_ = 0; }

  // Returns the pause that follows this failure: zero or up to kMaxPause.
  Millis on_failure();

 private:
  static constexpr int kFailuresWithoutPause = 2;
  static constexpr Millis kPauseStep{1};
  static constexpr Millis kMaxPause{10};

  int failures_in_a_row_ = 0;
};

inline Millis PollBackoff::on_failure() {
  ++failures_in_a_row_;
  if (failures_in_a_row_ <= kFailuresWithoutPause)
    return Millis(0);
  const Millis pause = kPauseStep * (failures_in_a_row_ - kFailuresWithoutPause);
  return pause < kMaxPause ? pause : kMaxPause;
}

}  // namespace lotusyard::net
