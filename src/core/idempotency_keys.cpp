#include "core/idempotency_keys.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lotusyard::core {
namespace {

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
  Record* record = find(call);
  return record == nullptr ? begin_new_key(call, rule, now) : begin_known_key(*record, call, rule, now);
}

IdempotencyKeys::KeyDecision IdempotencyKeys::begin_new_key(const Call& call, const KeyRule& rule,
                                                            Millis now) {
  if (records_.size() >= kMaxKeys)
    return KeyDecision::full;
  const auto since = may_have_run_since(call, rule, now);
  if (since && now - *since >= rule.window)
    return KeyDecision::window_over;
  Record& record = records_[record_name(call)];
  record.function = call.function;
  record.body_hash = body_hash(call);
  record.open_calls = 1;
  record.may_have_run_since = since;
  return KeyDecision::accepted;
}

IdempotencyKeys::KeyDecision IdempotencyKeys::begin_known_key(Record& record, const Call& call,
                                                              const KeyRule& rule, Millis now) {
  if (record.function != call.function || record.body_hash != body_hash(call))
    return KeyDecision::other_request;
  const auto since = first_send(record);
  if (since && now - *since >= rule.window)
    return KeyDecision::window_over;
  ++record.open_calls;
  return KeyDecision::accepted;
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
  const Record* record = find(call);
  if (record == nullptr)
    return false;
  const auto since = first_send(*record);
  if (!since)
    return true;
  if (now - *since >= rule.window || record->sent.size() >= kMaxSendsPerKey)
    return false;
  // It is not known to which host another invoker sent its attempt.
  if (record->may_have_run_since && rule.scope != policy::KeyScope::all)
    return false;
  return std::all_of(record->sent.begin(), record->sent.end(), [&](const SentAttempt& sent) {
    return shares_keys(rule.scope, sent.location, location);
  });
}

void IdempotencyKeys::record_send(const Call& call, const Attempt& attempt, const HostLocation& location,
                                  Millis now) {
  if (Record* record = find(call))
    record->sent.push_back({attempt, location, now});
}

void IdempotencyKeys::record_not_run(const Call& call, const Attempt& attempt) {
  Record* record = find(call);
  if (record == nullptr)
    return;
  auto& sent = record->sent;
  const auto is_same = [&](const SentAttempt& other) { return other.attempt == attempt; };
  sent.erase(std::remove_if(sent.begin(), sent.end(), is_same), sent.end());
}

void IdempotencyKeys::end(const Call& call, const KeyRule& rule, Millis now) {
  Record* record = find(call);
  if (record == nullptr || --record->open_calls > 0)
    return;
  // Each host recognises the key for one window after it has run an attempt. If the record were dropped
  // earlier, the key would count as new while some hosts still recognise it and others no longer do.
  const Millis until = last_send(*record) + rule.window * 2;
  if (!first_send(*record) || until <= now) {
    records_.erase(record_name(call));
  } else if (std::exchange(record->retained_until, until) != until) {
    expirations_.push_back({until, record_name(call)});
  }
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

IdempotencyKeys::Record* IdempotencyKeys::find(const Call& call) {
  const auto found = records_.find(record_name(call));
  return found == records_.end() ? nullptr : &found->second;
}

const IdempotencyKeys::Record* IdempotencyKeys::find(const Call& call) const {
  const auto found = records_.find(record_name(call));
  return found == records_.end() ? nullptr : &found->second;
}

// Records are removed only here, and in end() if there is nothing to retain.
void IdempotencyKeys::expire(Millis now) {
  while (!expirations_.empty() && expirations_.front().due <= now) {
    const auto found = records_.find(expirations_.front().record_name);
    if (found != records_.end() && found->second.open_calls == 0 && found->second.retained_until <= now)
      records_.erase(found);
    expirations_.pop_front();
  }
}

}  // namespace lotusyard::core
