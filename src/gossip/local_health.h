// Lifeguard's local health multiplier: how far a member doubts its own timeliness. No I/O.
#pragma once

#include <algorithm>

namespace lotusyard::gossip {

// The score grows when this member misses acks that others would have sent, has to refute a suspicion, or was
// paused. All timeouts are multiplied by the score plus one, so that a degraded member accuses fewer others.
class LocalHealth {
 public:
  explicit LocalHealth(int max_score) : max_score_(max_score) {}

  // 0: healthy.
  int score() const { return score_; }
  double timeout_multiplier() const { return 1 + score_; }

  void degrade(int by) { score_ = std::min(score_ + by, max_score_); }
  void improve() { score_ = std::max(score_ - 1, 0); }
  // The process did not run for a while: half of the greatest score at once.
  void record_pause() { degrade(max_score_ / 2); }

 private:
  int max_score_;
  int score_ = 0;
};

}  // namespace lotusyard::gossip
