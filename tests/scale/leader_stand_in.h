// What the group's leader concludes from the nodes' reports: up to which index every invoker that can hold a
// lease has applied the log, and up to which nothing forbidden is under way any more.
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

  // A report has arrived; it counts from when it is in the log.
  void on_report(const NodeReport& report) { waiting_.push_back(report); }
  std::vector<NodeReport> take_waiting() { return std::exchange(waiting_, {}); }
  void agreed(const std::vector<NodeReport>& reports, Millis now);

  // A conclusion is never taken back: the leader acts upon it. A node that was silent for long enough does
  // not count; a later life of a node takes the place of the earlier one.
  Proof conclude(Index last, Millis now);

 private:
  struct Node {
    NodeReport latest;
    Millis agreed_at{0};
  };
  raft::LeaseTerms terms_;
  std::vector<NodeReport> waiting_;
  std::map<std::size_t, Node> nodes_;
  Proof proof_;
};

}  // namespace lotusyard::test
