// How long a session waits before it connects again. Every wait is random, so that many sessions that lose
// their node together do not arrive at the next one together. No I/O.
#pragma once

#include <random>

#include "control/message.h"

namespace lotusyard::control {

class ReconnectBackoff {
 public:
  // `max_initial` is the longest wait after the first failure. It doubles with each further one, up to `max`.
  // `random` must outlive the backoff.
  ReconnectBackoff(Millis max_initial, Millis max, std::mt19937_64& random)
      : max_initial_(max_initial), max_(max), random_(random) {}

  // The wait after a failure, which is counted.
  Millis next_wait();
  // A node has granted a lease.
  void reset() { failures_ = 0; }
  // A node has sent a retry-after time. Other nodes may admit at once, so the waits do not grow in addition.
  void on_retry_after();

 private:
  Millis max_initial_;
  Millis max_;
  std::mt19937_64& random_;
  int failures_ = 0;  // since the last grant
};

}  // namespace lotusyard::control
