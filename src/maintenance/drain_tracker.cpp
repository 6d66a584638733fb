#include "maintenance/drain_tracker.h"

#include <cmath>

namespace lotusyard::maintenance {
namespace {

bool is_ready(const core::ListedHost& host) { return host.entry.state == policy::HostState::ready; }

const core::ListedHost* find(const DrainTracker::Listed& listed, const std::string& host) {
  const auto found = listed.find(host);
  return found == listed.end() ? nullptr : &found->second;
}

}  // namespace

DrainTracker::Change DrainTracker::update(const MaintenanceState& state, bool leased, const Listed& listed) {
  Change out;
  std::map<std::string, AvoidedHost> avoided;
  for (const auto& host : state.hosts_to_avoid(leased)) {
    out.avoided.insert(host);
    const auto before = avoided_.find(host);
    if (before != avoided_.end()) {
      avoided[host] = before->second;
      continue;
    }
    const auto* listed_host = find(listed, host);
    avoided[host].started = listed_host != nullptr ? listed_host->entry.started : Millis(0);
    out.log_lines.push_back("host=" + host + " is left alone");
  }
  for (const auto& [host, previous] : avoided_) {
    if (avoided.count(host) != 0)
      continue;
    if (released_to_operators_.erase(host) != 0)
      out.restart_slow_start.insert(host);
    out.log_lines.push_back("host=" + host + " is used again" +
                            (out.restart_slow_start.count(host) != 0 ? ", cold" : ""));
  }
  avoided_ = std::move(avoided);
  for (const auto& [host, progress] : state.hosts()) {
    if (progress.released_to_operators && avoided_.count(host) != 0)
      released_to_operators_.insert(host);
  }
  return out;
}

HostObservations DrainTracker::observe(const MaintenanceState& state, const HostObserver& observer,
                                       const Listed& listed, const std::set<std::string>& disabled,
                                       Millis now) {
  HostObservations out;
  for (const auto& [id, listed_host] : listed) {
    ++out.listed_hosts;
    if (state.hosts().count(id) != 0)
      out.serving_value[id] = std::round(observer.serving_value(id, now) * 100) / 100;
    const bool failed = !is_ready(listed_host) || disabled.count(id) != 0 || observer.is_down(id, now);
    if (!is_avoided(id) && failed)
      out.down.insert(id);
  }
  for (const auto& [id, progress] : state.hosts()) {
    const auto avoided = avoided_.find(id);
    const auto* listed_host = find(listed, id);
    if (progress.stage == HostStage::out_of_service && avoided != avoided_.end()) {
      const bool restarted =
          listed_host != nullptr &&
          (avoided->second.vanished || listed_host->entry.started != avoided->second.started);
      if (restarted && is_ready(*listed_host))
        out.restarted.insert(id);
      if (listed_host == nullptr)
        avoided->second.vanished = true;
    }
    if (progress.stage == HostStage::slow_start && observer.last_served(id) > progress.since)
      out.served.insert(id);
  }
  return out;
}

}  // namespace lotusyard::maintenance
