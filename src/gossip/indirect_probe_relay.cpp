#include "gossip/indirect_probe_relay.h"

#include <algorithm>

namespace lotusyard::gossip {
namespace {

constexpr std::size_t kMaxProbes = 256;

}  // namespace

bool IndirectProbeRelay::is_full() const { return probes_.size() >= kMaxProbes; }

std::optional<IndirectProbeRelay::RelayedProbe> IndirectProbeRelay::take_answered(std::uint64_t own_number,
                                                                                  const std::string& target) {
  const auto is_answered = [&](const RelayedProbe& probe) {
    return probe.own_number == own_number && probe.target == target;
  };
  const auto found = std::find_if(probes_.begin(), probes_.end(), is_answered);
  if (found == probes_.end())
    return std::nullopt;
  RelayedProbe probe = std::move(*found);
  probes_.erase(found);
  return probe;
}

void IndirectProbeRelay::remove_expired(Millis now) {
  while (!probes_.empty() && probes_.front().expires_at < now)
    probes_.pop_front();
}

}  // namespace lotusyard::gossip
