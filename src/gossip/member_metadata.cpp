#include "gossip/member_metadata.h"

#include <algorithm>

#include "core/fault_injection.h"

namespace lotusyard::gossip {

MemberMetadata::MergeResult MemberMetadata::merge(const HostObservation& fact) {
  if (hosts_.size() >= max_hosts && hosts_.count(fact.host) == 0) return MergeResult::rejected;
  Host& host = hosts_[fact.host];
  if (fact.host_incarnation < host.incarnation && !fault_injected("earlier-life"))
    return MergeResult::unchanged;
  if (fact.host_incarnation > host.incarnation) {
    host.incarnation = fact.host_incarnation;
    host.by_observer.clear();
  }
  const auto [mine, fresh] = host.by_observer.try_emplace(fact.observer, fact);
  if (fresh) return MergeResult::updated;
  if (!fault_injected("merge-order") && !(mine->second.order() < fact.order())) return MergeResult::unchanged;
  mine->second = fact;
  return MergeResult::updated;
}

void MemberMetadata::retain(const std::set<std::string>& listed, const std::set<std::string>& observers) {
  for (auto i = hosts_.begin(); i != hosts_.end();) {
    auto& by = i->second.by_observer;
    for (auto j = by.begin(); j != by.end();) j = observers.count(j->first) == 0 ? by.erase(j) : std::next(j);
    i = listed.count(i->first) == 0 ? hosts_.erase(i) : std::next(i);
  }
}

std::vector<HostObservation> MemberMetadata::all() const {
  std::vector<HostObservation> out;
  for (const auto& [id, host] : hosts_) {
    for (const auto& [observer, fact] : host.by_observer) out.push_back(fact);
  }
  return out;
}

const HostObservation* MemberMetadata::find(const std::string& host, const std::string& observer) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return nullptr;
  const auto mine = found->second.by_observer.find(observer);
  return mine == found->second.by_observer.end() ? nullptr : &mine->second;
}

std::size_t MemberMetadata::failure_reports(const std::string& host) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return 0;
  const auto& by = found->second.by_observer;
  return static_cast<std::size_t>(
      std::count_if(by.begin(), by.end(), [](const auto& entry) { return !entry.second.usable; }));
}

}  // namespace lotusyard::gossip
