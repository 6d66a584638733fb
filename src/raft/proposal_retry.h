// When a leader may repeat a proposal that has not been applied yet. No I/O; the clock is passed in.
#pragma once

#include "lotusyard/policy/policy.h"

namespace lotusyard::raft {

class ProposalRetry {
 public:
  using Millis = policy::Millis;
  // `period` is that of the leader's periodic work.
  explicit ProposalRetry(Millis period) : interval_(period * kPeriods) {}

  bool may_propose(Millis now) const { return now - last_proposal_at_ >= interval_; }
  void on_proposed(Millis now) { last_proposal_at_ = now; }
  // An entry has been applied: the leader may propose the next one at once.
  void on_applied() { last_proposal_at_ = Millis(0); }

 private:
  static constexpr int kPeriods = 4;
  Millis interval_;
  Millis last_proposal_at_{0};
};

}  // namespace lotusyard::raft
