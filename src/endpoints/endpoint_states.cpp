#include "endpoints/endpoint_states.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lotusyard::endpoints {

using core::HostState;

core::ListedHost EndpointStates::state_of(const std::string& id, const Host& host) const {
  core::ListedHost state = host.listed;
  state.entry.started = host.started;
  const bool left_alone = suspended_ || disabled(id) || in_maintenance_.count(id) != 0;
  if (left_alone && state.entry.state == HostState::ready)
    state.entry.state = HostState::draining;
  // A host that was out may have started anew, and the list, seconds late, does not say so yet.
  state.entry.enabled_by_operator = host.enabled_at > state.entry.started;
  if (state.entry.enabled_by_operator)
    state.entry.started = host.enabled_at;
  return state;
}

// A host that has just started, stamped by a clock that is behind, would be taken for a warm one, and
// one stamped in the future for cold until then. What cannot be believed counts from when it was first seen.
core::Millis EndpointStates::start_of(const Host* before, core::Millis stamped,
                                      const ClockReading& sight) const {
  if (!see_)
    return stamped;
  if (before != nullptr && before->listed.entry.started == stamped)
    return before->started;
  if (stamped.count() <= 0)
    return stamped;  // it has not started late
  const bool ahead = stamped > sight.now;
  const bool behind_itself = before != nullptr && stamped <= before->started;
  const bool untold = first_list_at_ && stamped < *first_list_at_ - untold_most;
  const bool by_another_clock = first_list_at_ && sight.wall_has_stepped;
  return ahead || behind_itself || untold || by_another_clock ? sight.now : stamped;
}

void EndpointStates::apply_list(const core::HostListUpdate& list, core::ListKind kind) {
  core::HostListUpdate states{list.complete, {}};
  const ClockReading sight = see_ ? see_() : ClockReading();
  std::set<std::string> named;
  for (const auto& member : list.hosts) {
    const std::string& id = member.entry.host;
    const auto before = hosts_.find(id);
    const core::Millis started =
        start_of(before == hosts_.end() ? nullptr : &before->second, member.entry.started, sight);
    Host& host = hosts_[id];
    host.started = started;
    host.listed = member;
    named.insert(id);
    states.hosts.push_back(state_of(id, host));
    if (member.entry.state == HostState::gone)
      forget_removed(id);
  }
  std::vector<std::string> left;
  for (auto& [id, host] : hosts_) {
    if (!list.complete || named.count(id) != 0 || host.listed.entry.state == HostState::gone)
      continue;
    host.listed.entry.state = HostState::gone;
    left.push_back(id);
  }
  for (const auto& id : left)
    forget_removed(id);
  if (!first_list_at_)
    first_list_at_ = sight.now;
  update_handler_(states, kind);
}

// Bounds the table of hosts; the one place where it shrinks.
void EndpointStates::forget_removed(const std::string& id) {
  removed_.push_back(id);
  while (removed_.size() > max_removed_hosts) {
    const auto oldest = hosts_.find(removed_.front());
    const bool gone = oldest != hosts_.end() && oldest->second.listed.entry.state == HostState::gone;
    const bool again = std::count(removed_.begin(), removed_.end(), removed_.front()) > 1;
    if (gone && !again)
      hosts_.erase(oldest);
    removed_.pop_front();
  }
}

void EndpointStates::notify(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end() || found->second.listed.entry.state == HostState::gone)
    return;
  update_handler_({false, {state_of(id, found->second)}}, core::ListKind::delta);
}

void EndpointStates::disable(const std::string& host) {
  if (disabled_.insert(host).second)
    notify(host);
}

void EndpointStates::enable(const std::string& host, core::Millis now) {
  if (disabled_.erase(host) == 0)
    return;  // it was not out: it may be as warm as it likes
  const auto found = hosts_.find(host);
  if (found == hosts_.end())
    return;
  found->second.enabled_at = now;
  notify(host);
}

void EndpointStates::set_in_maintenance(const std::set<std::string>& out, const std::set<std::string>& anew,
                                        core::Millis now) {
  const std::set<std::string> before = std::exchange(in_maintenance_, out);
  for (const auto& id : out) {
    if (before.count(id) == 0)
      notify(id);
  }
  for (const auto& id : before) {
    if (out.count(id) != 0)
      continue;
    const auto found = hosts_.find(id);
    if (found != hosts_.end() && anew.count(id) != 0)
      found->second.enabled_at = now;
    notify(id);
  }
}

void EndpointStates::suspend_all(bool held) {
  if (std::exchange(suspended_, held) == held)
    return;
  for (const auto& [id, host] : hosts_)
    notify(id);
}

std::optional<core::ListedHost> EndpointStates::find_listed(const std::string& host) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || found->second.listed.entry.state == HostState::gone)
    return std::nullopt;
  return found->second.listed;
}

std::map<std::string, core::ListedHost> EndpointStates::listed_hosts() const {
  std::map<std::string, core::ListedHost> out;
  for (const auto& [id, host] : hosts_) {
    if (host.listed.entry.state != HostState::gone)
      out.emplace(id, host.listed);
  }
  return out;
}

void EndpointStates::set_disabled(const std::set<std::string>& out, core::Millis now) {
  const std::set<std::string> before = disabled_;
  for (const auto& host : out)
    disable(host);
  for (const auto& host : before) {
    if (out.count(host) == 0)
      enable(host, now);
  }
}

}  // namespace lotusyard::endpoints
