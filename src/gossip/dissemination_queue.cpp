#include "gossip/dissemination_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace lotusyard::gossip {
namespace {

// Transmissions of an update for each power of ten in the cluster size.
constexpr double kTransmissionFactor = 5;
// A full sync counts as several transmissions, because its receiver disseminates all of it in turn.
constexpr int kFullSyncTransmissions = 3;

int max_transmissions(std::size_t cluster_size) {
  const double magnitude = std::log10(static_cast<double>(cluster_size) + 2);
  return static_cast<int>(std::ceil(kTransmissionFactor * magnitude));
}

}  // namespace

std::vector<std::string> DisseminationQueue::take(std::size_t limit, std::size_t cluster_size) {
  std::vector<std::pair<int, std::string>> by_transmissions;
  for (const auto& [key, transmissions] : transmissions_)
    by_transmissions.emplace_back(transmissions, key);
  const std::size_t count = std::min(limit, by_transmissions.size());
  const auto middle = by_transmissions.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(by_transmissions.begin(), middle, by_transmissions.end());

  const int max = max_transmissions(cluster_size);
  std::vector<std::string> taken;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string& key = by_transmissions[i].second;
    taken.push_back(key);
    const int transmissions = ++transmissions_[key];
    if (transmissions >= max)
      transmissions_.erase(key);
  }
  return taken;
}

void DisseminationQueue::record_full_sync(std::size_t cluster_size) {
  const int max = max_transmissions(cluster_size);
  for (auto entry = transmissions_.begin(); entry != transmissions_.end();) {
    entry->second += kFullSyncTransmissions;
    const bool complete = entry->second >= max;
    entry = complete ? transmissions_.erase(entry) : std::next(entry);
  }
}

}  // namespace lotusyard::gossip
