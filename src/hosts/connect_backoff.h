// Exponential backoff of new connections while this machine cannot make any.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// Doubles the pause between connects while each fails for a local reason, such as no free port. Failures that
// the host causes do not count.
class ConnectBackoff {
 public:
  void record_local_failure(Millis now) {
    pause_ = pause_.count() > 0 ? std::min(pause_ * 2, kMaxPause) : kMinPause;
    next_attempt_at_ = now + pause_;
    impaired_until_ = next_attempt_at_ + kImpairedDuration;
  }
  void record_success() { *this = ConnectBackoff(); }

  // True if no connect has failed since the last success. Needs no clock.
  bool has_no_failure() const { return impaired_until_.count() == 0; }
  bool may_connect(Millis now) const { return now >= next_attempt_at_; }
  Millis next_attempt_at() const { return next_attempt_at_; }
  // True while new connections may fail, so that open ones should be kept and preferred.
  bool is_impaired(Millis now) const { return now < impaired_until_; }

 private:
  // Short: a call waits for the next connect, and its latency objective may be tens of milliseconds.
  static constexpr Millis kMinPause{2};
  static constexpr Millis kMaxPause{50};
  // How long after the end of a pause connecting counts as impaired, if there is no other connect meanwhile.
  static constexpr Millis kImpairedDuration{20};

  Millis pause_{0};
  Millis next_attempt_at_{0};
  Millis impaired_until_{0};
};

}  // namespace lotusyard::hosts
