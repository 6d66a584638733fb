// Limits liveness probes to a small part of the traffic.
#pragma once

#include <algorithm>

namespace lotusyard::hosts {

// A token bucket over all connections, filled by the attempts that are sent. A connection is also silent
// while its calls wait for a load: if each late answer caused a probe, the probes of a hundred invokers would
// outnumber their calls.
class LivenessProbeBudget {
 public:
  void record_attempt() { tokens_ = std::min(tokens_ + kTokensPerAttempt, kMaxTokens); }

  // Takes a token for one probe. Returns false if there is none.
  bool try_take() {
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kTokensPerAttempt = 0.05;
  // The burst that is allowed after a quiet time.
  static constexpr double kMaxTokens = 5;

  double tokens_ = kMaxTokens;
};

}  // namespace lotusyard::hosts
