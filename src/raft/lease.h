// The lease under which a member may act on its replicated state without asking the group, measured by the
// member's own clock. It also determines when no attempt of an earlier process of this member can still be
// running. It does no I/O, and the time is passed in.
#pragma once

#include <algorithm>

#include "lotusyard/policy/policy.h"

namespace lotusyard::raft {

using policy::Millis;

// The terms that all members of a group share; a member with other terms is rejected.
struct LeaseTerms {
  Millis lease{3000};             // the duration of a lease, from the committed heartbeat on
  double clock_drift = 0.01;      // the fraction by which one member's clock may run faster than another's
  Millis max_attempt_time{2000};  // no attempt runs at a host for longer than this after it was sent
  // An invoker with a session continues without a lease for this long; after that it uses no host.
  Millis max_offline{7200000};

  Millis heartbeat_interval() const { return lease / 4; }
  // After this long without a heartbeat, measured by any other member's clock, none of a member's attempts is
  // running: its lease has expired, and so have the attempts that it sent until then.
  Millis presumed_dead_after() const { return (lease + max_attempt_time) * (1 + clock_drift); }
};

// The lease of one member.
class Lease {
 public:
  explicit Lease(LeaseTerms terms, Millis started) : terms_(terms), started_(started) {}

  // To be called when a log entry with a heartbeat of this incarnation has been applied. `stamp` is the time
  // in milliseconds at which the heartbeat was sent, by this member's clock.
  void renew(double stamp) { expires_at_ = std::max(expires_at_, Millis(stamp) + terms_.lease); }
  void revoke() { expires_at_ = Millis(0); }
  bool is_held(Millis now) const { return now < expires_at_; }
  Millis expires_at() const { return expires_at_; }
  bool was_ever_held() const { return expires_at_.count() > 0; }

  // Whether the attempts that an earlier process of this member may have sent have all ended.
  bool earlier_attempts_ended(Millis now) const { return now - started_ >= terms_.max_attempt_time; }

 private:
  LeaseTerms terms_;
  Millis started_;
  Millis expires_at_{0};
};

}  // namespace lotusyard::raft
