#include "scale/tier_recorder.h"

namespace lotusyard::test {

TierRecorder::TierRecorder(HollowFleet& fleet) : fleet_(fleet), started_(fleet.now()) {
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i)
    node_by_name_[fleet.nodes()[i]->address.name] = i;
  fleet.observe(*this);
}

std::size_t TierRecorder::node_of(const HollowInvoker& invoker) const {
  return node_by_name_.at(invoker.session->node().name);
}

void TierRecorder::on_move(const HollowInvoker&, Index from, const HollowInvoker::Move& move, double now) {
  if (from == 0)
    return;  // the initial state
  for (const Index index : fleet_.log().changes_between(from, move.position)) {
    const double agreed_at = fleet_.log().entry(index).agreed_at;
    if (agreed_at >= started_)
      to_apply_.add(now - agreed_at);
  }
}

void TierRecorder::on_lease(const HollowInvoker& invoker, Millis before, double now) {
  const double gap = before.count() > 0 ? now - invoker.clock.true_time(before) : 0;
  if (gap > 0)
    lapses_.push_back({now, gap, invoker.endpoint.number});
}

void TierRecorder::on_session_opened(const HollowInvoker& invoker, double now) {
  openings_.push_back({now, invoker.endpoint.number, node_of(invoker)});
}

NodeFailureRecorder::NodeFailureRecorder(HollowFleet& fleet, const TierRecorder& recorder,
                                         std::vector<std::size_t> failed_nodes)
    : fleet_(fleet), recorder_(recorder), failed_at_(fleet.now()), failed_nodes_(std::move(failed_nodes)) {
  for (const auto& invoker : fleet.invokers()) {
    if (!invoker->up() || !invoker->session->open())
      continue;
    const auto node = recorder.node_of(*invoker);
    if (std::count(failed_nodes_.begin(), failed_nodes_.end(), node) != 0)
      lost_sessions_[invoker->endpoint.number] = {};
  }
  fleet.observe(*this);
}

void NodeFailureRecorder::on_session_opened(const HollowInvoker& invoker, double now) {
  ++opens_each_second_[recorder_.node_of(invoker)][static_cast<int>((now - failed_at_) / 1000)];
  const auto lost = lost_sessions_.find(invoker.endpoint.number);
  if (lost != lost_sessions_.end() && lost->second.session_at == 0)
    lost->second.session_at = now;
}

void NodeFailureRecorder::on_lease(const HollowInvoker& invoker, Millis before, double now) {
  const auto lost = lost_sessions_.find(invoker.endpoint.number);
  if (lost == lost_sessions_.end() || lost->second.session_at == 0 || lost->second.lease_at > 0)
    return;
  lost->second.lease_at = now;
  lost->second.gap = std::max(0.0, now - invoker.clock.true_time(before));
}

void NodeFailureRecorder::finish(const RunLabel& label) {
  fleet_.remove_observer(*this);
  Sample to_session, to_lease, gaps, taken_over, at_once;
  std::size_t without_lease = 0;
  for (const auto& [number, lost] : lost_sessions_) {
    if (!fleet_.invokers()[number]->up())
      continue;  // the invoker was killed as well
    if (lost.session_at > 0)
      to_session.add(lost.session_at - failed_at_);
    if (lost.lease_at > 0)
      to_lease.add(lost.lease_at - failed_at_);
    if (lost.lease_at == 0)
      ++without_lease;
    if (lost.gap > 0)
      gaps.add(lost.gap);
  }
  for (const auto& [node, seconds] : opens_each_second_) {
    std::size_t sum = 0, most = 0;
    for (const auto& [second, opens] : seconds) {
      sum += opens;
      most = std::max(most, opens);
    }
    taken_over.add(static_cast<double>(sum));
    at_once.add(static_cast<double>(most));
  }
  print_point(label, "invoker", "ms_to_new_session", to_session);
  print_point(label, "invoker", "ms_to_new_lease", to_lease);
  print_point(label, "invoker", "ms_without_lease_of_those_that_lapsed", gaps);
  print_value(label, "invoker", "sessions_lost", static_cast<double>(lost_sessions_.size()));
  print_value(label, "invoker", "still_without_new_lease", static_cast<double>(without_lease));
  print_point(label, "node", "sessions_taken_over", taken_over);
  print_point(label, "node", "most_opens_in_a_second", at_once);
}

}  // namespace lotusyard::test
