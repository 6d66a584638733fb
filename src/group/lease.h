// What one member may take for granted without asking: how long it holds, kept by its own clock, and since
// when nothing of an earlier life of it is out any more. No I/O; the time is passed in.
#pragma once

#include <algorithm>

#include "robinfold/policy.h"

namespace lotusyard::group {

using robinfold::Millis;

// What the group's members have in common; a member with other figures is turned away.
struct Terms {
  Millis lease{3000};       // from the sign of life that was agreed upon
  double drift = 0.01;      // by so much one member's clock may run faster than another's
  Millis last_call{2000};   // no call stays at a host for longer than this after it went out
  Millis offline{7200000};  // so long an invoker with a session goes on without a lease, then it uses no host

  Millis beat() const { return lease / 4; }
  // After so long without a sign of life, by any other member's clock, nothing of that member's is at a host
  // that it knew could be next: its lease has run out, and so has what it sent until then.
  Millis silent() const { return (lease + last_call) * (1 + drift); }
};

class Lease {
 public:
  explicit Lease(Terms terms, Millis started) : terms_(terms), started_(started) {}

  // An entry of the log that holds this life's beat of that stamp has been applied here.
  void agreed(double stamp) { until_ = std::max(until_, Millis(stamp) + terms_.lease); }
  void lost() { until_ = Millis(0); }
  bool holds(Millis now) const { return now < until_; }
  Millis until() const { return until_; }
  bool ever() const { return until_.count() > 0; }

  // What an earlier process of this member sent may still be at hosts for a while.
  bool earlier_ended(Millis now) const { return now - started_ >= terms_.last_call; }

 private:
  Terms terms_;
  Millis started_, until_{0};
};

}  // namespace lotusyard::group
