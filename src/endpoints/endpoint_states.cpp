#include "endpoints/endpoint_states.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lotusyard::endpoints {

using core::HostState;

core::ListedHost EndpointStates::effective_state(const std::string& id, const Host& host) const {
  core::ListedHost state = host.listed;
  state.entry.started = host.started;
  const bool is_excluded = suspended_ || is_disabled(id) || in_maintenance_.count(id) != 0;
  if (is_excluded && state.entry.state == HostState::ready)
    state.entry.state = HostState::draining;
  // A host that was excluded may have restarted; the list shows that only seconds later.
  state.entry.enabled_by_operator = host.enabled_at > state.entry.started;
  if (state.entry.enabled_by_operator)
    state.entry.started = host.enabled_at;
  return state;
}

// If its clock is behind, a host that has just started would count as warm; if its clock is ahead, it would
// count as warming up until a time in the future. A start time that is not credible is replaced by the time
// at which it was first received.
core::Millis EndpointStates::start_time(const Host* known, core::Millis listed_start,
                                        const ClockReading& clock) const {
  if (!read_clock_)
    return listed_start;
  if (known != nullptr && known->listed.entry.started == listed_start)
    return known->started;
  if (listed_start.count() <= 0)
    return listed_start;  // the host has run since before the list began
  return is_credible_start(known, listed_start, clock) ? listed_start : clock.now;
}

bool EndpointStates::is_credible_start(const Host* known, core::Millis listed_start,
                                       const ClockReading& clock) const {
  if (listed_start > clock.now)
    return false;
  if (known != nullptr && listed_start <= known->started)
    return false;
  if (!first_list_at_)
    return true;
  return listed_start >= *first_list_at_ - kMaxListDelay && !clock.wall_has_stepped;
}

void EndpointStates::apply_list(const core::HostListUpdate& list, core::ListKind kind) {
  core::HostListUpdate update{list.complete, {}};
  const ClockReading clock = read_clock_ ? read_clock_() : ClockReading();
  std::set<std::string> listed;
  for (const auto& host : list.hosts) {
    listed.insert(host.entry.host);
    update.hosts.push_back(apply_host(host, clock));
    if (host.entry.state == HostState::removed)
      add_removed(host.entry.host);
  }
  if (list.complete)
    remove_unlisted(listed);
  if (!first_list_at_)
    first_list_at_ = clock.now;
  update_handler_(update, kind);
}

// Returns the effective state of the host.
core::ListedHost EndpointStates::apply_host(const core::ListedHost& listed, const ClockReading& clock) {
  const std::string& id = listed.entry.host;
  const auto found = hosts_.find(id);
  const Host* known = found == hosts_.end() ? nullptr : &found->second;
  const core::Millis started = start_time(known, listed.entry.started, clock);
  Host& host = hosts_[id];
  host.started = started;
  host.listed = listed;
  return effective_state(id, host);
}

void EndpointStates::remove_unlisted(const std::set<std::string>& listed) {
  std::vector<std::string> removed;
  for (auto& [id, host] : hosts_) {
    if (listed.count(id) != 0 || host.listed.entry.state == HostState::removed)
      continue;
    host.listed.entry.state = HostState::removed;
    removed.push_back(id);
  }
  for (const auto& id : removed)
    add_removed(id);
}

// Records that the host was removed, and erases the hosts that were removed longest ago. This bounds the
// table of hosts, which shrinks nowhere else.
void EndpointStates::add_removed(const std::string& id) {
  removed_.push_back(id);
  while (removed_.size() > kMaxRemovedHosts) {
    const auto oldest = hosts_.find(removed_.front());
    const bool is_gone = oldest != hosts_.end() && oldest->second.listed.entry.state == HostState::removed;
    const bool was_removed_again = std::count(removed_.begin(), removed_.end(), removed_.front()) > 1;
    if (is_gone && !was_removed_again)
      hosts_.erase(oldest);
    removed_.pop_front();
  }
}

void EndpointStates::notify(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end() || found->second.listed.entry.state == HostState::removed)
    return;
  update_handler_({false, {effective_state(id, found->second)}}, core::ListKind::delta);
}

void EndpointStates::disable(const std::string& host) {
  if (disabled_.insert(host).second)
    notify(host);
}

void EndpointStates::enable(const std::string& host, core::Millis now) {
  if (disabled_.erase(host) == 0)
    return;  // it has not been disabled, so it may be warm
  const auto found = hosts_.find(host);
  if (found == hosts_.end())
    return;
  found->second.enabled_at = now;
  notify(host);
}

void EndpointStates::set_disabled(const std::set<std::string>& hosts, core::Millis now) {
  const std::set<std::string> before = disabled_;
  for (const auto& host : hosts)
    disable(host);
  for (const auto& host : before) {
    if (hosts.count(host) == 0)
      enable(host, now);
  }
}

void EndpointStates::set_in_maintenance(const std::set<std::string>& in_maintenance,
                                        const std::set<std::string>& restarted, core::Millis now) {
  const std::set<std::string> before = std::exchange(in_maintenance_, in_maintenance);
  for (const auto& id : in_maintenance) {
    if (before.count(id) == 0)
      notify(id);
  }
  for (const auto& id : before) {
    if (in_maintenance.count(id) != 0)
      continue;
    const auto found = hosts_.find(id);
    if (found != hosts_.end() && restarted.count(id) != 0)
      found->second.enabled_at = now;
    notify(id);
  }
}

void EndpointStates::set_all_suspended(bool suspended) {
  if (std::exchange(suspended_, suspended) == suspended)
    return;
  for (const auto& [id, host] : hosts_)
    notify(id);
}

std::optional<core::ListedHost> EndpointStates::find_listed(const std::string& host) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || found->second.listed.entry.state == HostState::removed)
    return std::nullopt;
  return found->second.listed;
}

std::map<std::string, core::ListedHost> EndpointStates::listed_hosts() const {
  std::map<std::string, core::ListedHost> listed;
  for (const auto& [id, host] : hosts_) {
    if (host.listed.entry.state != HostState::removed)
      listed.emplace(id, host.listed);
  }
  return listed;
}

}  // namespace lotusyard::endpoints
