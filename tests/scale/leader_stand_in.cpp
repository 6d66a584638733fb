#include "scale/leader_stand_in.h"

namespace lotusyard::test {

void LeaderStandIn::agreed(const std::vector<NodeReport>& reports, Millis now) {
  for (const NodeReport& report : reports) {
    const auto known = nodes_.find(report.node);
    const bool old =
        known != nodes_.end() && std::tie(report.incarnation, report.stamp) <
                                     std::tie(known->second.latest.incarnation, known->second.latest.stamp);
    if (!old)
      nodes_[report.node] = {report, now};
  }
}

Proof LeaderStandIn::conclude(Index last, Millis now) {
  Proof found{last, last};
  for (const auto& [number, node] : nodes_) {
    if (now - node.agreed_at >= terms_.presumed_dead_after())
      continue;
    found.applied = std::min(found.applied, node.latest.floors.applied);
    found.quiesced_index = std::min(found.quiesced_index, node.latest.floors.quiesced_index);
  }
  proof_.applied = std::max(proof_.applied, found.applied);
  proof_.quiesced_index = std::max(proof_.quiesced_index, found.quiesced_index);
  return proof_;
}

}  // namespace lotusyard::test
