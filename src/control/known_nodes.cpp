#include "control/known_nodes.h"

#include <algorithm>
#include <limits>

namespace lotusyard::control {

KnownNodes::KnownNodes(std::string zone, std::string region, const std::vector<NodeAddress>& seeds)
    : zone_(std::move(zone)), region_(std::move(region)) {
  for (const NodeAddress& seed : seeds) {
    Node node;
    node.at = seed;
    node.seed = true;
    nodes_[seed.address] = std::move(node);
  }
}

void KnownNodes::learn(const std::vector<NodeAddress>& told) {
  ++lists_;
  for (const NodeAddress& one : told) {
    if (one.address.empty())
      continue;
    Node& node = nodes_[one.address];
    node.at = one;
    node.told = lists_;
  }
  forget_oldest();
}

void KnownNodes::forget_oldest() {
  std::vector<std::pair<std::uint64_t, std::string>> learnt;
  for (const auto& [address, node] : nodes_) {
    if (!node.seed)
      learnt.emplace_back(node.told, address);
  }
  if (learnt.size() <= most_learnt)
    return;
  std::sort(learnt.begin(), learnt.end());
  learnt.resize(learnt.size() - most_learnt);
  for (const auto& [told, address] : learnt)
    nodes_.erase(address);
}

void KnownNodes::failed(const std::string& address) {
  last_failed_ = address;
  const auto found = nodes_.find(address);
  if (found != nodes_.end())
    found->second.failed = true;
}

void KnownNodes::forget_failures() {
  for (auto& [address, node] : nodes_)
    node.failed = false;
}

void KnownNodes::hold_back(const std::string& address, Millis until) {
  const auto found = nodes_.find(address);
  if (found != nodes_.end())
    found->second.not_before = std::max(found->second.not_before, until);
}

const NodeAddress* KnownNodes::choose(Millis now, std::mt19937_64& random) {
  const Candidates open = available(now);
  if (open.empty())
    return nullptr;
  Candidates candidates = untried(open);
  if (candidates.empty()) {
    forget_failures();  // a new round
    candidates = without_last_failed(open);
  }
  candidates = nearest(candidates);
  std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
  return &candidates[any(random)]->at;
}

Millis KnownNodes::next_available() const {
  Millis out(std::numeric_limits<double>::infinity());
  for (const auto& [address, node] : nodes_)
    out = std::min(out, node.not_before);
  return out;
}

int KnownNodes::distance(const NodeAddress& node) const {
  if (!zone_.empty() && node.zone == zone_)
    return 0;
  return !region_.empty() && node.region == region_ ? 1 : 2;
}

KnownNodes::Candidates KnownNodes::nearest(const Candidates& from) const {
  int least = std::numeric_limits<int>::max();
  for (const Node* node : from)
    least = std::min(least, distance(node->at));
  Candidates out;
  for (const Node* node : from) {
    if (distance(node->at) == least)
      out.push_back(node);
  }
  return out;
}

KnownNodes::Candidates KnownNodes::available(Millis now) const {
  Candidates out;
  for (const auto& [address, node] : nodes_) {
    if (node.not_before <= now)
      out.push_back(&node);
  }
  return out;
}

KnownNodes::Candidates KnownNodes::untried(const Candidates& from) const {
  Candidates out;
  for (const Node* node : from) {
    if (!node->failed)
      out.push_back(node);
  }
  return out;
}

// All of them, if that is the only one.
KnownNodes::Candidates KnownNodes::without_last_failed(const Candidates& from) const {
  Candidates out;
  for (const Node* node : from) {
    if (node->at.address != last_failed_)
      out.push_back(node);
  }
  return out.empty() ? from : out;
}

}  // namespace lotusyard::control
