// What one member may take for granted without asking: how long it holds, kept by its own clock, and since
// when nothing of an earlier life of it is out any more. No I/O; the time is passed in.
#pragma once

#include <algorithm>

#include "lotusyard/policy/policy.h"

namespace lotusyard::raft {

using policy::Millis;

// What the group's members have in common; a member with other figures is turned away.
struct LeaseTerms {
  Millis lease{3000};             // from the sign of life that was agreed upon
  double clock_drift = 0.01;      // by so much one member's clock may run faster than another's
  Millis max_attempt_time{2000};  // no call stays at a host for longer than this after it went out
  Millis max_offline{
      7200000};  // so long an invoker with a session goes on without a lease, then it uses no host

  Millis heartbeat_interval() const { return lease / 4; }
  // After so long without a sign of life, by any other member's clock, nothing of that member's is at a host
  // that it knew could be next: its lease has run out, and so has what it sent until then.
  Millis presumed_dead_after() const { return (lease + max_attempt_time) * (1 + clock_drift); }
};

class Lease {
 public:
  explicit Lease(LeaseTerms terms, Millis started) : terms_(terms), started_(started) {}

  // An entry of the log that holds this life's beat of that stamp has been applied here.
  void renew(double stamp) { expires_at_ = std::max(expires_at_, Millis(stamp) + terms_.lease); }
  void revoke() { expires_at_ = Millis(0); }
  bool is_held(Millis now) const { return now < expires_at_; }
  Millis expires_at() const { return expires_at_; }
  bool was_ever_held() const { return expires_at_.count() > 0; }

  // What an earlier process of this member sent may still be at hosts for a while.
  bool earlier_attempts_ended(Millis now) const { return now - started_ >= terms_.max_attempt_time; }

 private:
  LeaseTerms terms_;
  Millis started_, expires_at_{0};
};

}  // namespace lotusyard::raft
