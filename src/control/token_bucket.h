// A token bucket. No I/O; the time is passed in.
#pragma once

#include <algorithm>

#include "lotusyard/policy/policy.h"

namespace lotusyard::control {

using policy::Millis;

class TokenBucket {
 public:
  // Starts full, with `burst` tokens.
  TokenBucket(double tokens_per_second, double burst, Millis now)
      : tokens_per_second_(tokens_per_second), burst_(burst), tokens_(burst), refilled_at_(now) {}

  // Returns false if less than one token is left; time_to_next() is then the time until there is one.
  bool take(Millis now) {
    const double gained = (now - refilled_at_).count() / kMillisPerSecond * tokens_per_second_;
    tokens_ = std::min(burst_, tokens_ + gained);
    refilled_at_ = now;
    if (tokens_ < 1)
      return false;
    --tokens_;
    return true;
  }
  // From the last call of take() on.
  Millis time_to_next() const { return Millis((1 - tokens_) / tokens_per_second_ * kMillisPerSecond); }

 private:
  static constexpr double kMillisPerSecond = 1000;

  double tokens_per_second_;
  double burst_;
  double tokens_;
  Millis refilled_at_;
};

}  // namespace lotusyard::control
