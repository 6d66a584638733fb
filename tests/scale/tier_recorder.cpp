#include "scale/tier_recorder.h"

namespace lotusyard::test {

TierRecorder::TierRecorder(HollowFleet& fleet) : fleet_(fleet), began_(fleet.now()) {
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i)
    node_by_name_[fleet.nodes()[i]->address.name] = i;
  fleet.observe(*this);
}

std::size_t TierRecorder::node_of(const HollowInvoker& invoker) const {
  return node_by_name_.at(invoker.session->node().name);
}

void TierRecorder::moved(const HollowInvoker&, Index from, const HollowInvoker::Move& move, double now) {
  if (from == 0)
    return;  // its first state
  for (const Index index : fleet_.log().changes_between(from, move.position)) {
    const double agreed_at = fleet_.log().entry(index).agreed_at;
    if (agreed_at >= began_)
      to_apply_.add(now - agreed_at);
  }
}

void TierRecorder::leased(const HollowInvoker& invoker, Millis before, double now) {
  const double gap = before.count() > 0 ? now - invoker.clock.truth(before) : 0;
  if (gap > 0)
    lapses_.push_back({now, gap, invoker.endpoint.number});
}

void TierRecorder::opened(const HollowInvoker& invoker, double now) {
  openings_.push_back({now, invoker.endpoint.number, node_of(invoker)});
}

DeathWatch::DeathWatch(HollowFleet& fleet, const TierRecorder& recorder, std::vector<std::size_t> dying)
    : fleet_(fleet), recorder_(recorder), died_at_(fleet.now()), dying_(std::move(dying)) {
  for (const auto& invoker : fleet.invokers()) {
    if (!invoker->up() || !invoker->session->open())
      continue;
    const auto node = recorder.node_of(*invoker);
    if (std::count(dying_.begin(), dying_.end(), node) != 0)
      orphans_[invoker->endpoint.number] = {};
  }
  fleet.observe(*this);
}

void DeathWatch::opened(const HollowInvoker& invoker, double now) {
  ++opens_each_second_[recorder_.node_of(invoker)][static_cast<int>((now - died_at_) / 1000)];
  const auto orphan = orphans_.find(invoker.endpoint.number);
  if (orphan != orphans_.end() && orphan->second.session_at == 0)
    orphan->second.session_at = now;
}

void DeathWatch::leased(const HollowInvoker& invoker, Millis before, double now) {
  const auto orphan = orphans_.find(invoker.endpoint.number);
  if (orphan == orphans_.end() || orphan->second.session_at == 0 || orphan->second.lease_at > 0)
    return;
  orphan->second.lease_at = now;
  orphan->second.gap = std::max(0.0, now - invoker.clock.truth(before));
}

void DeathWatch::finish(const RunLabel& label) {
  fleet_.forget(*this);
  Sample to_session, to_lease, gaps, taken, at_once;
  std::size_t without = 0;
  for (const auto& [number, orphan] : orphans_) {
    if (!fleet_.invokers()[number]->up())
      continue;  // it died as well
    if (orphan.session_at > 0)
      to_session.add(orphan.session_at - died_at_);
    if (orphan.lease_at > 0)
      to_lease.add(orphan.lease_at - died_at_);
    if (orphan.lease_at == 0)
      ++without;
    if (orphan.gap > 0)
      gaps.add(orphan.gap);
  }
  for (const auto& [node, seconds] : opens_each_second_) {
    std::size_t sum = 0, most = 0;
    for (const auto& [second, opens] : seconds) {
      sum += opens;
      most = std::max(most, opens);
    }
    taken.add(static_cast<double>(sum));
    at_once.add(static_cast<double>(most));
  }
  print_point(label, "invoker", "ms_to_new_session", to_session);
  print_point(label, "invoker", "ms_to_new_lease", to_lease);
  print_point(label, "invoker", "ms_without_lease_of_those_that_lapsed", gaps);
  print_value(label, "invoker", "sessions_lost", static_cast<double>(orphans_.size()));
  print_value(label, "invoker", "still_without_new_lease", static_cast<double>(without));
  print_point(label, "node", "sessions_taken_over", taken);
  print_point(label, "node", "most_opens_in_a_second", at_once);
}

}  // namespace lotusyard::test
