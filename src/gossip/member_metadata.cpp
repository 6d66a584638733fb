#include "gossip/member_metadata.h"

#include <algorithm>
#include <iterator>

#include "core/fault_injection.h"

namespace lotusyard::gossip {

MemberMetadata::MergeResult MemberMetadata::merge(const HostObservation& observation) {
  const bool is_known = hosts_.count(observation.host) != 0;
  if (!is_known && hosts_.size() >= kMaxHosts)
    return MergeResult::rejected;
  Host& host = hosts_[observation.host];
  const bool is_stale = observation.host_incarnation < host.incarnation;
  if (is_stale && !fault_injected("earlier-life"))
    return MergeResult::unchanged;
  if (observation.host_incarnation > host.incarnation) {
    host.incarnation = observation.host_incarnation;
    host.by_observer.clear();
  }
  const auto [entry, inserted] = host.by_observer.try_emplace(observation.observer, observation);
  if (inserted)
    return MergeResult::updated;
  const bool is_newer = entry->second.precedence() < observation.precedence();
  if (!is_newer && !fault_injected("merge-order"))
    return MergeResult::unchanged;
  entry->second = observation;
  return MergeResult::updated;
}

void MemberMetadata::retain(const std::set<std::string>& listed, const std::set<std::string>& observers) {
  for (auto host = hosts_.begin(); host != hosts_.end();) {
    auto& by_observer = host->second.by_observer;
    for (auto entry = by_observer.begin(); entry != by_observer.end();) {
      const bool is_absent = observers.count(entry->first) == 0;
      entry = is_absent ? by_observer.erase(entry) : std::next(entry);
    }
    const bool is_unlisted = listed.count(host->first) == 0;
    host = is_unlisted ? hosts_.erase(host) : std::next(host);
  }
}

std::vector<HostObservation> MemberMetadata::all() const {
  std::vector<HostObservation> observations;
  for (const auto& [id, host] : hosts_) {
    for (const auto& [observer, observation] : host.by_observer)
      observations.push_back(observation);
  }
  return observations;
}

const HostObservation* MemberMetadata::find(const std::string& host, const std::string& observer) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end())
    return nullptr;
  const auto& by_observer = found->second.by_observer;
  const auto entry = by_observer.find(observer);
  return entry == by_observer.end() ? nullptr : &entry->second;
}

std::size_t MemberMetadata::failure_reports(const std::string& host) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end())
    return 0;
  const auto& by_observer = found->second.by_observer;
  const auto reports_failure = [](const auto& entry) { return !entry.second.usable; };
  const auto reports = std::count_if(by_observer.begin(), by_observer.end(), reports_failure);
  return static_cast<std::size_t>(reports);
}

}  // namespace lotusyard::gossip
