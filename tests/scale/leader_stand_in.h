// Stand-in for the group's leader. From the nodes' reports it computes the index up to which every invoker
// that can hold a lease has applied the log, and the index up to which no attempt from before it is in
// flight.
#pragma once

#include <map>
#include <vector>

#include "raft/lease.h"
#include "scale/agreed_log.h"

namespace lotusyard::test {

struct Proof {
  Index applied = 0, quiesced_index = 0;
};

class LeaderStandIn {
 public:
  explicit LeaderStandIn(const raft::LeaseTerms& terms) : terms_(terms) {}

  // Receives a report; it takes effect once it is in the log.
  void on_report(const NodeReport& report) { pending_.push_back(report); }
  std::vector<NodeReport> take_pending() { return std::exchange(pending_, {}); }
  void on_committed(const std::vector<NodeReport>& reports, Millis now);

  // Indexes never decrease, because the leader acts on them. A node that has been silent until it is presumed
  // dead is ignored; a later incarnation of a node replaces the earlier one.
  Proof prove(Index last, Millis now);

 private:
  struct Node {
    NodeReport latest;
    Millis agreed_at{0};
  };
  raft::LeaseTerms terms_;
  std::vector<NodeReport> pending_;
  std::map<std::size_t, Node> nodes_;
  Proof proof_;
};

}  // namespace lotusyard::test
