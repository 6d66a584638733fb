#include "control/known_nodes.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace lotusyard::control {

KnownNodes::KnownNodes(std::string zone, std::string region, const std::vector<NodeAddress>& seeds)
    : zone_(std::move(zone)), region_(std::move(region)) {
  for (const NodeAddress& seed : seeds) {
    Node node;
    node.address = seed;
    node.seed = true;
    nodes_[seed.address] = std::move(node);
  }
}

void KnownNodes::learn(const std::vector<NodeAddress>& nodes) {
  ++lists_;
  for (const NodeAddress& address : nodes) {
    if (address.address.empty())
      continue;
    Node& node = nodes_[address.address];
    node.address = address;
    node.last_named_by = lists_;
  }
  drop_oldest();
}

void KnownNodes::drop_oldest() {
  std::vector<std::pair<std::uint64_t, std::string>> learnt;
  for (const auto& [address, node] : nodes_) {
    if (!node.seed)
      learnt.emplace_back(node.last_named_by, address);
  }
  if (learnt.size() <= kMaxLearntNodes)
    return;
  std::sort(learnt.begin(), learnt.end());
  learnt.resize(learnt.size() - kMaxLearntNodes);
  for (const auto& [list, address] : learnt)
    nodes_.erase(address);
}

void KnownNodes::on_failure(const std::string& address) {
  last_failed_ = address;
  const auto found = nodes_.find(address);
  if (found != nodes_.end())
    found->second.failed = true;
}

void KnownNodes::clear_failures() {
  for (auto& [address, node] : nodes_)
    node.failed = false;
}

void KnownNodes::hold_back(const std::string& address, Millis until) {
  const auto found = nodes_.find(address);
  if (found != nodes_.end())
    found->second.not_before = std::max(found->second.not_before, until);
}

const NodeAddress* KnownNodes::choose(Millis now, std::mt19937_64& random) {
  const Candidates all = available(now);
  if (all.empty())
    return nullptr;
  Candidates candidates = untried(all);
  const bool all_have_failed = candidates.empty();
  if (all_have_failed) {
    clear_failures();
    candidates = without_last_failed(all);
  }
  candidates = nearest(candidates);
  std::uniform_int_distribution<std::size_t> position(0, candidates.size() - 1);
  return &candidates[position(random)]->address;
}

Millis KnownNodes::next_available() const {
  Millis earliest(std::numeric_limits<double>::infinity());
  for (const auto& [address, node] : nodes_)
    earliest = std::min(earliest, node.not_before);
  return earliest;
}

KnownNodes::Distance KnownNodes::distance(const NodeAddress& node) const {
  if (!zone_.empty() && node.zone == zone_)
    return Distance::same_zone;
  const bool is_same_region = !region_.empty() && node.region == region_;
  return is_same_region ? Distance::same_region : Distance::elsewhere;
}

KnownNodes::Candidates KnownNodes::nearest(const Candidates& candidates) const {
  Distance least = Distance::elsewhere;
  for (const Node* node : candidates)
    least = std::min(least, distance(node->address));
  Candidates nearest;
  for (const Node* node : candidates) {
    if (distance(node->address) == least)
      nearest.push_back(node);
  }
  return nearest;
}

KnownNodes::Candidates KnownNodes::available(Millis now) const {
  Candidates available;
  for (const auto& [address, node] : nodes_) {
    if (node.not_before <= now)
      available.push_back(&node);
  }
  return available;
}

KnownNodes::Candidates KnownNodes::untried(const Candidates& candidates) {
  Candidates untried;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(untried),
               [](const Node* node) { return !node->failed; });
  return untried;
}

// All candidates, if the last one that failed is the only one.
KnownNodes::Candidates KnownNodes::without_last_failed(const Candidates& candidates) const {
  Candidates others;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(others),
               [this](const Node* node) { return node->address.address != last_failed_; });
  return others.empty() ? candidates : others;
}

}  // namespace lotusyard::control
