#include "policy/host_table.h"

#include <algorithm>

namespace lotusyard::policy {

Host* HostTable::find(const std::string& id) {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &at(found->second);
}

void HostTable::apply(const event::EndpointListUpdate& list) {
  ++list_version_;
  for (const auto& entry : list.entries) {
    apply_entry(index_for(entry.host), entry);
  }
  for (auto& host : hosts_) {
    const bool dropped = list.kind != ListKind::delta && host.list_version != list_version_;
    if (dropped)
      host.entry.state = HostState::removed;
    if (!host.is_removed())
      host.listed_at = context_.now();
  }
}

int HostTable::index_for(const std::string& id) {
  const bool reused = !free_.empty();
  const int next = reused ? free_.back() : static_cast<int>(hosts_.size());
  const auto [entry, is_new] = index_.try_emplace(id, next);
  if (is_new && reused)
    free_.pop_back();
  if (is_new && !reused)
    hosts_.emplace_back();
  return entry->second;
}

void HostTable::apply_entry(int index, const HostEntry& entry) {
  Host& host = at(index);
  const bool is_new = host.entry.host.empty();
  const bool restarted = !is_new && entry.started > host.entry.started;  // same id, but no warm instance
  if (restarted || is_new) {
    host.health = Health();
    host.lost = false;
    host.class_health.assign(classes_.slots(), Health());
    host.tokens_at = kNever;
  }
  if (restarted || entry.state != HostState::ready)
    functions_.drop_instances(index);
  const Millis started = std::max(host.entry.started, entry.started);  // the list may be an older one
  host.entry = entry;
  host.entry.started = started;
  host.list_version = list_version_;
  host.hash = hash_of(entry.host);
  if (!(host.entry.weight > 0))
    host.entry.weight = 1;
}

void HostTable::apply_classes(const std::vector<int>& changed) {
  for (auto& host : hosts_) {
    host.class_health.resize(classes_.slots());
    for (const int index : changed) {
      host.class_health[ClassTable::slot(index)] = Health();
    }
  }
}

void HostTable::prune() {
  for (auto& host : hosts_) {
    const bool used = !host.is_removed() || host.in_flight > 0;
    const bool recent = context_.now() - host.listed_at <= kRecordLifetime;
    if (used || recent || host.entry.host.empty())
      continue;
    const int index = index_of(host);
    functions_.drop_instances(index);
    index_.erase(host.entry.host);
    free_.push_back(index);
    host = Host();
    host.entry.state = HostState::removed;
  }
}

}  // namespace lotusyard::policy
