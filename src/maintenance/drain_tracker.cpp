#include "maintenance/drain_tracker.h"

#include <cmath>

namespace lotusyard::maintenance {
namespace {

bool usable(const core::ListedHost& m) { return m.entry.state == policy::WorkerState::ready; }

const core::ListedHost* find(const DrainTracker::Listed& listed, const std::string& host) {
  const auto found = listed.find(host);
  return found == listed.end() ? nullptr : &found->second;
}

}  // namespace

DrainTracker::Change DrainTracker::update(const MaintenanceState& board, bool leased, const Listed& listed) {
  Change out;
  std::map<std::string, AvoidedHost> left;
  for (const auto& host : board.hosts_to_avoid(leased)) {
    out.avoided.insert(host);
    const auto before = avoided_.find(host);
    if (before != avoided_.end()) {
      left[host] = before->second;
      continue;
    }
    const auto* now = find(listed, host);
    left[host].started = now != nullptr ? now->entry.started : Millis(0);
    out.log_lines.push_back("host=" + host + " is left alone");
  }
  for (const auto& [host, was] : avoided_) {
    if (left.count(host) != 0) continue;
    if (released_to_operators_.erase(host) != 0) out.restart_slow_start.insert(host);
    out.log_lines.push_back("host=" + host + " is used again" +
                            (out.restart_slow_start.count(host) != 0 ? ", cold" : ""));
  }
  avoided_ = std::move(left);
  for (const auto& [host, h] : board.hosts()) {
    if (h.released_to_operators && avoided_.count(host) != 0) released_to_operators_.insert(host);
  }
  return out;
}

HostObservations DrainTracker::observe(const MaintenanceState& board, const HostObserver& watch,
                                       const Listed& listed, const std::set<std::string>& by_hand,
                                       Millis now) {
  HostObservations out;
  for (const auto& [id, member] : listed) {
    ++out.listed_hosts;
    if (board.hosts().count(id) != 0)
      out.serving_value[id] = std::round(watch.serving_value(id, now) * 100) / 100;
    const bool bad = !usable(member) || by_hand.count(id) != 0 || watch.is_down(id, now);
    if (!is_avoided(id) && bad) out.down.insert(id);
  }
  for (const auto& [id, h] : board.hosts()) {
    const auto mine = avoided_.find(id);
    const auto* there = find(listed, id);
    if (h.stage == HostStage::out_of_service && mine != avoided_.end()) {
      const bool again =
          there != nullptr && (mine->second.vanished || there->entry.started != mine->second.started);
      if (again && usable(*there)) out.restarted.insert(id);
      if (there == nullptr) mine->second.vanished = true;
    }
    if (h.stage == HostStage::slow_start && watch.last_served(id) > h.since) out.served.insert(id);
  }
  return out;
}

}  // namespace lotusyard::maintenance
