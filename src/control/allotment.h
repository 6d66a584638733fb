// Divides a node's part of a shared budget, such as what all invokers together may send to a cold host, among
// its sessions. What is out at any time never exceeds the node's part: a share counts until the lease with
// which it was granted is over. No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "control/message.h"

namespace lotusyard::control {

class Allotment {
 public:
  using SessionId = std::uint64_t;

  // The node's part from `index` of the agreed log on. A smaller one takes effect as shares run out.
  void set_part(double part, Index index);
  // The share of a session for a lease that ends at `until` by the node's clock; `sessions`: among how many
  // the part is divided now. It replaces the session's earlier shares once their leases are over.
  double grant(SessionId session, std::size_t sessions, Millis until, Millis now);
  // What all sessions together may still hold.
  double outstanding(Millis now);
  // Up to which index of the log the node's sessions keep to its part; `applied`: where the node itself is.
  Index respected(Index applied, Millis now);

 private:
  struct Share {
    double amount = 0;
    Millis until{0};
  };
  struct Reduction {
    Index index = 0;
    double part = 0;
  };
  double part_ = 0;
  std::map<SessionId, std::deque<Share>> shares_;
  std::deque<Reduction> reductions_;  // that some share may still exceed

  void expire(Millis now);
};

}  // namespace lotusyard::control
