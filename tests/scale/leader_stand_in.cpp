#include "scale/leader_stand_in.h"

namespace lotusyard::test {

void LeaderStandIn::on_committed(const std::vector<NodeReport>& reports, Millis now) {
  for (const NodeReport& report : reports) {
    const auto previous = nodes_.find(report.node);
    const bool old = previous != nodes_.end() &&
                     std::tie(report.incarnation, report.stamp) <
                         std::tie(previous->second.latest.incarnation, previous->second.latest.stamp);
    if (!old)
      nodes_[report.node] = {report, now};
  }
}

Proof LeaderStandIn::prove(Index last, Millis now) {
  Proof lowest{last, last};
  for (const auto& [number, node] : nodes_) {
    if (now - node.agreed_at >= terms_.presumed_dead_after())
      continue;
    lowest.applied = std::min(lowest.applied, node.latest.floors.applied);
    lowest.quiesced_index = std::min(lowest.quiesced_index, node.latest.floors.quiesced_index);
  }
  proof_.applied = std::max(proof_.applied, lowest.applied);
  proof_.quiesced_index = std::max(proof_.quiesced_index, lowest.quiesced_index);
  return proof_;
}

}  // namespace lotusyard::test
