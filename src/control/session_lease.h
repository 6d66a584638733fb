// The lease of an invoker's session, and the renewals that extend it. No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "control/message.h"

namespace lotusyard::control {

class SessionLease {
 public:
  enum class GrantResult {
    extended,         // the lease has been extended
    nothing_granted,  // the node grants no lease now
    leaseless,        // the node has granted none for as long as a lease lasts
    not_outstanding,  // for a renewal that is no longer outstanding; ignored
    malformed         // for a renewal that was not sent
  };

  explicit SessionLease(const raft::LeaseTerms& terms) : terms_(terms) {}

  bool is_held(Millis now) const { return now < until_; }
  bool has_been_held() const { return until_.count() > 0; }
  Millis until() const { return until_; }
  // The share that came with the last grant.
  const std::optional<double>& share() const { return share_; }

  // A session has opened: its renewals are counted from 1 on.
  void on_opened() { last_sequence_ = 0; }
  // Whether a renewal is due; next_renewal() is the time of the next one.
  bool is_renewal_due(Millis now) const { return now >= next_renewal_; }
  Millis next_renewal() const { return next_renewal_; }
  // Records a renewal that is sent right after this call, and returns its sequence number: the lease counts
  // from `now`. Empty: too many are outstanding, and none is to be sent.
  std::optional<std::uint64_t> start_renewal(Millis now);
  GrantResult on_grant(const Grant& grant, Millis now);
  // The time at which a renewal will have been without a response for too long; infinite if none is
  // outstanding.
  Millis silence_deadline() const;
  // The replica is being brought up to date: that the node grants no lease meanwhile does not count against
  // it.
  void on_snapshot_progress() { refused_since_.reset(); }

  // The connection has ended: no renewal is answered any more. The lease continues until its end.
  void on_disconnected();
  // The process ends and uses the lease no longer.
  void release() { until_ = Millis(0); }

 private:
  struct Renewal {
    std::uint64_t sequence = 0;
    Millis sent_at{0};
  };
  raft::LeaseTerms terms_;
  Millis until_{0};
  std::optional<double> share_;
  Millis next_renewal_{0};
  std::deque<Renewal> outstanding_;      // without a response, oldest first
  std::uint64_t last_sequence_ = 0;      // on this connection
  std::optional<Millis> refused_since_;  // nothing was granted for renewals from then on

  GrantResult extend(const Renewal& renewal, const Grant& grant, Millis now);
  GrantResult on_nothing_granted(const Renewal& renewal, Millis now);
};

}  // namespace lotusyard::control
