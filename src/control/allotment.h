// Divides a node's part of a fleet-wide budget, such as what all invokers together may send to a cold host,
// among its sessions. The shares in use never exceed the budget at any time: a share counts until the lease
// with which it was granted has ended. No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "control/message.h"

namespace lotusyard::control {

class Allotment {
 public:
  using SessionId = std::uint64_t;

  // The node's budget from log index `index` on. A smaller one takes effect as earlier shares expire.
  void set_budget(double budget, Index index);
  // Grants a share for a lease that ends at `until` by the node's clock. The budget is divided among
  // `sessions` sessions now. The share replaces the session's earlier ones once their leases have ended.
  double grant(SessionId session, std::size_t sessions, Millis until, Millis now);
  // What all sessions together may still use.
  double outstanding(Millis now);
  // The log index up to which the node's sessions respect its budget, at most `applied`.
  Index respected(Index applied, Millis now);

 private:
  struct Share {
    double amount = 0;
    Millis until{0};
  };
  using Shares = std::deque<Share>;
  struct Reduction {
    Index index = 0;
    double budget = 0;
  };
  double budget_ = 0;
  std::map<SessionId, Shares> shares_;
  std::deque<Reduction> reductions_;  // that the shares in use may still exceed

  void expire(Millis now);
  static double largest(const Shares& shares);
};

}  // namespace lotusyard::control
