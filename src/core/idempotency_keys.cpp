#include "core/idempotency_keys.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lotusyard::core {

bool IdempotencyKeys::is_valid(const std::string& key) {
  const auto plain = [](char c) { return c > ' ' && c <= '~' && c != ',' && c != '='; };
  return !key.empty() && key.size() <= max_key_bytes && std::all_of(key.begin(), key.end(), plain);
}

std::optional<Millis> IdempotencyKeys::first_send(const Record& record) {
  std::optional<Millis> out = record.before;
  for (const auto& sent : record.sent)
    out = out ? std::min(*out, sent.when) : sent.when;
  return out;
}

// Bounds the memory of keys; the one place where it shrinks.
void IdempotencyKeys::expire(Millis now) {
  while (!ends_.empty() && ends_.front().first <= now) {
    const auto found = records_.find(ends_.front().second);
    if (found != records_.end() && found->second.open == 0 && found->second.kept_until <= now)
      records_.erase(found);
    ends_.pop_front();
  }
}

IdempotencyKeys::KeyDecision IdempotencyKeys::begin(const Call& call, const KeyRule& rule, Millis now) {
  expire(now);
  const std::uint64_t body = std::hash<std::string>()(call.body);
  const std::string name = name_of(call);
  const auto found = records_.find(name);
  if (found == records_.end()) {
    if (records_.size() >= max_keys)
      return KeyDecision::full;
    // After a restart, or with another invoker, the first try is not known here. A client waits for
    // all of its tries together no longer than the class's limit, and this one ends it.
    std::optional<Millis> before = call.may_have_run_since;
    if (!before && call.retry)
      before = now + std::min(call.timeout - rule.hard_limit, Millis(0));
    if (before && now - *before >= rule.window)
      return KeyDecision::window_over;
    Record& fresh = records_[name];
    fresh.function = call.function;
    fresh.body = body;
    fresh.open = 1;
    fresh.before = before;
    return KeyDecision::accepted;
  }
  Record& record = found->second;
  if (record.function != call.function || record.body != body)
    return KeyDecision::other_request;
  const auto since = first_send(record);
  if (since && now - *since >= rule.window)
    return KeyDecision::window_over;
  ++record.open;
  return KeyDecision::accepted;
}

bool IdempotencyKeys::may_send_to(const Call& call, const KeyRule& rule, const HostLocation& to,
                                  Millis now) const {
  const auto found = records_.find(name_of(call));
  if (found == records_.end())
    return false;
  const auto since = first_send(found->second);
  if (!since)
    return true;
  if (now - *since >= rule.window || found->second.sent.size() >= max_sends_per_key)
    return false;
  if (rule.scope == policy::KeyScope::all)
    return true;
  if (found->second.before)
    return false;  // nobody knows where that was
  return std::all_of(found->second.sent.begin(), found->second.sent.end(), [&](const Sent& sent) {
    return rule.scope == policy::KeyScope::zone ? sent.at.zone == to.zone : sent.at.cell == to.cell;
  });
}

void IdempotencyKeys::record_send(const Call& call, const Attempt& attempt, const HostLocation& to,
                                  Millis now) {
  const auto found = records_.find(name_of(call));
  if (found != records_.end())
    found->second.sent.push_back({attempt, to, now});
}

void IdempotencyKeys::record_not_run(const Call& call, const Attempt& attempt) {
  const auto found = records_.find(name_of(call));
  if (found == records_.end())
    return;
  auto& sent = found->second.sent;
  const auto same = [&](const Sent& s) { return s.attempt == attempt; };
  sent.erase(std::remove_if(sent.begin(), sent.end(), same), sent.end());
}

void IdempotencyKeys::end(const Call& call, const KeyRule& rule, Millis now) {
  const auto found = records_.find(name_of(call));
  if (found == records_.end())
    return;
  Record& record = found->second;
  if (--record.open > 0)
    return;
  // Hosts drop repeats for a window from when each of them ran it. Forgotten sooner, the key would be
  // taken for a new one while some still do and others do not.
  Millis last = record.before.value_or(Millis(0));
  for (const auto& sent : record.sent)
    last = std::max(last, sent.when);
  const Millis until = last + rule.window * 2;
  if (!first_send(record) || until <= now) {
    records_.erase(found);
  } else if (std::exchange(record.kept_until, until) != until) {
    ends_.emplace_back(until, found->first);
  }
}

}  // namespace lotusyard::core
