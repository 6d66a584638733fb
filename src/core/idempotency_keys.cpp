#include "core/idempotency_keys.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lotusyard::core {
namespace {

// Past this part of the memory new keys are refused: the rest is left to the clients' retries of known ones.
constexpr double kFractionForNewKeys = 0.875;
// Of a key: the nodes of both containers and the allocator's headers.
constexpr std::size_t kOverheadBytes = 160;

std::uint64_t body_hash(const Call& call) { return std::hash<std::string>()(call.body); }

// Commas and equals signs separate the fields of a line to a host.
bool is_key_character(char c) { return c > ' ' && c <= '~' && c != ',' && c != '='; }

bool shares_keys(policy::KeyScope scope, const HostLocation& one, const HostLocation& other) {
  switch (scope) {
    case policy::KeyScope::all:
      return true;
    case policy::KeyScope::zone:
      return one.zone == other.zone;
    case policy::KeyScope::cell:
      break;
  }
  return one.cell == other.cell;
}

}  // namespace

bool IdempotencyKeys::is_valid(const std::string& key) {
  return !key.empty() && key.size() <= kMaxKeyBytes && std::all_of(key.begin(), key.end(), is_key_character);
}

IdempotencyKeys::KeyDecision IdempotencyKeys::begin(const Call& call, const KeyRule& rule, Millis now) {
  expire(now);
  Entry* entry = find(call);
  return entry == nullptr ? begin_new_key(call, rule, now) : begin_known_key(*entry, call, rule, now);
}

IdempotencyKeys::KeyDecision IdempotencyKeys::begin_new_key(const Call& call, const KeyRule& rule,
                                                            Millis now) {
  if (records_.size() >= kMaxKeys || is_filled(kFractionForNewKeys))
    return KeyDecision::full;
  const auto since = may_have_run_since(call, rule, now);
  if (since && now - *since >= rule.window)
    return KeyDecision::window_over;
  Entry& entry = *records_.emplace(record_name(call), Record()).first;
  entry.second.function = call.function;
  entry.second.body_hash = body_hash(call);
  entry.second.may_have_run_since = since;
  bytes_ += bytes_of(entry);
  open_call(entry);
  return KeyDecision::accepted;
}

IdempotencyKeys::KeyDecision IdempotencyKeys::begin_known_key(Entry& entry, const Call& call,
                                                              const KeyRule& rule, Millis now) {
  const Record& record = entry.second;
  if (record.function != call.function || record.body_hash != body_hash(call))
    return KeyDecision::other_request;
  const auto since = first_send(record);
  if (since && now - *since >= rule.window)
    return KeyDecision::window_over;
  if (is_filled(1))
    return KeyDecision::full;
  open_call(entry);
  return KeyDecision::accepted;
}

void IdempotencyKeys::open_call(Entry& entry) {
  Record& record = entry.second;
  ++record.open_calls;
  if (record.expiration)
    expirations_.erase(*std::exchange(record.expiration, std::nullopt));
  bytes_ -= bytes_of(entry);
  record.sent.reserve(std::min(record.sent.size() + 1, kMaxSendsPerKey));
  bytes_ += bytes_of(entry);
}

bool IdempotencyKeys::is_filled(double fraction) const {
  return max_bytes_ > 0 && static_cast<double>(bytes_) >= static_cast<double>(max_bytes_) * fraction;
}

std::size_t IdempotencyKeys::bytes_of(const Entry& entry) {
  const std::size_t own = sizeof(Entry) + kOverheadBytes + entry.first.capacity();
  return own + entry.second.sent.capacity() * sizeof(SentAttempt);
}

// After a restart, or if another invoker served it, this process has no record of the client's first attempt.
// A client waits at most `hard_limit` over all of its retries, and the time-out of this call is the rest of
// that.
std::optional<Millis> IdempotencyKeys::may_have_run_since(const Call& call, const KeyRule& rule, Millis now) {
  if (call.may_have_run_since || !call.retry)
    return call.may_have_run_since;
  return now + std::min(call.timeout - rule.hard_limit, Millis(0));
}

bool IdempotencyKeys::may_send_to(const Call& call, const KeyRule& rule, const HostLocation& location,
                                  Millis now) const {
  const Entry* entry = find(call);
  if (entry == nullptr)
    return false;
  const Record& record = entry->second;
  const auto since = first_send(record);
  if (!since)
    return true;
  if (now - *since >= rule.window || record.sent.size() >= kMaxSendsPerKey)
    return false;
  // It is not known to which host another invoker sent its attempt.
  if (record.may_have_run_since && rule.scope != policy::KeyScope::all)
    return false;
  return std::all_of(record.sent.begin(), record.sent.end(), [&](const SentAttempt& sent) {
    return shares_keys(rule.scope, sent.location, location);
  });
}

void IdempotencyKeys::record_send(const Call& call, const Attempt& attempt, const HostLocation& location,
                                  Millis now) {
  Entry* entry = find(call);
  if (entry == nullptr)
    return;
  bytes_ -= bytes_of(*entry);
  entry->second.sent.push_back({attempt, location, now});
  bytes_ += bytes_of(*entry);
}

void IdempotencyKeys::record_not_run(const Call& call, const Attempt& attempt) {
  Entry* entry = find(call);
  if (entry == nullptr)
    return;
  auto& sent = entry->second.sent;
  const auto is_same = [&](const SentAttempt& other) { return other.attempt == attempt; };
  sent.erase(std::remove_if(sent.begin(), sent.end(), is_same), sent.end());
}

void IdempotencyKeys::end(const Call& call, const KeyRule& rule, Millis now) {
  Entry* entry = find(call);
  if (entry == nullptr || --entry->second.open_calls > 0)
    return;
  // Each host recognises the key for one window after it has run an attempt. If the record were dropped
  // earlier, the key would count as new while some hosts still recognise it and others no longer do.
  const Millis until = last_send(entry->second) + rule.window * 2;
  if (!first_send(entry->second) || until <= now)
    erase(*entry);
  else
    entry->second.expiration = expirations_.emplace(until, entry);
}

std::optional<Millis> IdempotencyKeys::first_send(const Record& record) {
  std::optional<Millis> first = record.may_have_run_since;
  for (const auto& sent : record.sent)
    first = first ? std::min(*first, sent.sent_at) : sent.sent_at;
  return first;
}

Millis IdempotencyKeys::last_send(const Record& record) {
  Millis last = record.may_have_run_since.value_or(Millis(0));
  for (const auto& sent : record.sent)
    last = std::max(last, sent.sent_at);
  return last;
}

IdempotencyKeys::Entry* IdempotencyKeys::find(const Call& call) {
  const auto found = records_.find(record_name(call));
  return found == records_.end() ? nullptr : &*found;
}

const IdempotencyKeys::Entry* IdempotencyKeys::find(const Call& call) const {
  const auto found = records_.find(record_name(call));
  return found == records_.end() ? nullptr : &*found;
}

void IdempotencyKeys::erase(const Entry& entry) {
  bytes_ -= bytes_of(entry);
  records_.erase(records_.find(entry.first));
}

// Records are removed only here, and in end() if there is nothing to retain.
void IdempotencyKeys::expire(Millis now) {
  while (!expirations_.empty() && expirations_.begin()->first <= now) {
    const Entry& expired = *expirations_.begin()->second;
    expirations_.erase(expirations_.begin());
    erase(expired);
  }
}

}  // namespace lotusyard::core
