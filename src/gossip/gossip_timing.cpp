#include "gossip/gossip_timing.h"

#include <algorithm>
#include <cmath>

namespace lotusyard::gossip {
namespace {

constexpr double kMinMagnitude = 2;  // clusters under 100 members use the timeout of 100

double cluster_magnitude(std::size_t cluster_size) {
  const auto members = static_cast<double>(std::max<std::size_t>(cluster_size, 1));
  return std::max(kMinMagnitude, std::log10(members));
}

double log_of_count(std::size_t count) { return std::log(static_cast<double>(count) + 1); }

}  // namespace

Millis GossipTiming::suspicion_timeout(std::size_t cluster_size, std::size_t confirmations) const {
  const double lower = min_suspicion_periods * cluster_magnitude(cluster_size);
  // Neither the suspected member nor the first to suspect it can confirm.
  const std::size_t wanted = cluster_size > 2 ? std::min(suspicion_confirmations, cluster_size - 2) : 0;
  if (wanted == 0)
    return period * (lower * 2);
  const double upper = max_suspicion_periods / min_suspicion_periods * lower / 2;
  const double progress = log_of_count(std::min(confirmations, wanted)) / log_of_count(wanted);
  return period * std::max(lower, upper - (upper - lower) * progress);
}

}  // namespace lotusyard::gossip
