// Estimates how long hosts usually take to answer, and from that how long a connection may be silent.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// Exponential moving average over the answers of all hosts.
class ResponseTimeEstimate {
 public:
  void record(Millis elapsed) { average_response_time_ += kAverageGain * (elapsed - average_response_time_); }

  // How long a connection with an attempt in flight may be silent before it is probed; `limit` is the maximum
  // from the settings.
  Millis max_silence(Millis limit) const {
    const Millis usual = std::max(average_response_time_ * kSilenceFactor, kMinSilence);
    return std::min(usual, std::max(limit, kMinSilence));
  }

 private:
  // The average covers about the last 20 answers.
  static constexpr double kAverageGain = 0.05;
  // Silence of this many average response times is unusual.
  static constexpr double kSilenceFactor = 2;
  // After a shorter silence, a probe would cost more than it could detect.
  static constexpr Millis kMinSilence{200};

  Millis average_response_time_{0};
};

}  // namespace lotusyard::hosts
