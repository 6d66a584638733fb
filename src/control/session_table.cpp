#include "control/session_table.h"

#include <algorithm>
#include <iterator>

#include "core/fault_injection.h"

namespace lotusyard::control {
namespace {

constexpr Millis kMinLease{20};        // a shorter one would have ended before it arrives
constexpr Millis kMinRetryAfter{200};  // after a refusal because too many sessions open at once

SessionTable::Admission refused(RefusalReason reason, Millis retry_after) {
  return {SessionTable::Admission::Status::refused, 0, reason, retry_after};
}

}  // namespace

SessionTable::SessionTable(const raft::LeaseTerms& terms, Limits limits, const ChangeLog& log, Millis started)
    : terms_(terms),
      limits_(limits),
      log_(log),
      started_(started),
      offline_floor_(terms, started + terms.presumed_dead_after()),
      open_tokens_(limits.opens_per_second, limits.open_burst, started) {}

SessionTable::Admission SessionTable::open(const std::string& invoker, std::uint64_t incarnation,
                                           Index position, Millis now) {
  const InvokerKey key(invoker, incarnation);
  if (const auto reason = reason_not_to_admit(key, position, now))
    return *reason;
  Admission admission;
  admission.session = connect(key, position);
  return admission;
}

std::optional<SessionTable::Admission> SessionTable::reason_not_to_admit(const InvokerKey& key,
                                                                         Index position, Millis now) {
  if (position > log_.applied())
    return refused(RefusalReason::node_behind, terms_.heartbeat_interval());
  const auto known = by_invoker_.find(key);
  const bool is_new = known == by_invoker_.end();
  if (!is_new && position < sessions_.at(known->second).applied)
    return Admission{Admission::Status::malformed};
  if (is_new && is_full(now))
    return refused(RefusalReason::full, terms_.presumed_dead_after());
  if (!open_tokens_.take(now))
    return refused(RefusalReason::busy, std::max(open_tokens_.time_to_next(), kMinRetryAfter));
  return std::nullopt;
}

bool SessionTable::is_full(Millis now) {
  if (sessions_.size() >= limits_.max_sessions)
    expire(now);
  return sessions_.size() >= limits_.max_sessions;
}

// Adds the session, or continues it on its new connection.
SessionTable::SessionId SessionTable::connect(const InvokerKey& key, Index position) {
  const auto [entry, is_new] = by_invoker_.try_emplace(key, last_id_ + 1);
  if (is_new)
    ++last_id_;
  Session& session = sessions_[entry->second];
  if (!session.connected)
    ++connected_;
  session.invoker = key.first;
  session.incarnation = key.second;
  session.connected = true;
  session.closed = false;
  session.applied = position;
  return entry->second;
}

bool SessionTable::report(SessionId id, Index applied, Index quiesced_index) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end())
    return false;
  Session& session = found->second;
  const bool goes_back = applied < session.applied || quiesced_index < session.quiesced_index;
  if (goes_back || applied > log_.applied() || quiesced_index > applied)
    return false;
  session.applied = applied;
  session.quiesced_index = quiesced_index;
  return true;
}

Millis SessionTable::grant(SessionId id, Millis node_lease_until, Millis now) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end())
    return Millis(0);
  record_node_lease(node_lease_until, now);
  Session& session = found->second;
  if (!may_hold_lease(session) && !fault_injected("grant-behind"))
    return Millis(0);
  const Millis duration = lease_duration(node_lease_until, now);
  if (duration < kMinLease)
    return Millis(0);
  Millis until = now + duration * (1 + terms_.clock_drift);
  if (!fault_injected("session-outlasts-node"))
    until = std::min(until, node_lease_until);  // rounding must not exceed it either
  session.lease_until = std::max(session.lease_until.value_or(until), until);
  return duration;
}

// Rule 2: the session has applied everything that was reported as applied by all.
bool SessionTable::may_hold_lease(const Session& session) const {
  const bool is_empty = session.applied == 0;
  const bool is_behind = log_.covered(session.applied) < reported_;
  return !is_empty && !is_behind;
}

// Rule 1: by the session's clock, which may be slower than the node's.
Millis SessionTable::lease_duration(Millis node_lease_until, Millis now) const {
  if (fault_injected("session-outlasts-node"))
    return terms_.lease;
  const Millis left = (node_lease_until - now) / (1 + terms_.clock_drift);
  return std::min(terms_.lease, left);
}

// If the node's lease had lapsed, no session holds one now, so any index may be treated as reported.
void SessionTable::record_node_lease(Millis node_lease_until, Millis now) {
  if (node_lease_until <= now || fault_injected("group-went-on"))
    return;
  const bool had_lapsed = now >= granted_under_;
  if (had_lapsed)
    reported_ = std::max(reported_, log_.applied());
  granted_under_ = std::max(granted_under_, node_lease_until);
}

void SessionTable::disconnected(SessionId id) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end() || !found->second.connected)
    return;
  found->second.connected = false;
  --connected_;
  if (!found->second.lease_until)
    remove(found);
}

void SessionTable::closed(SessionId id, Millis now) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end())
    return;
  auto& lease_until = found->second.lease_until;
  if (lease_until)
    lease_until = std::min(*lease_until, now);
  found->second.closed = true;
  disconnected(id);
}

void SessionTable::expire(Millis now) {
  for (auto session = sessions_.begin(); session != sessions_.end();) {
    const auto next = std::next(session);
    if (!session->second.connected && !counts_for_quiesced(session->second, now))
      remove(session);
    session = next;
  }
}

void SessionTable::remove(Sessions::iterator session) {
  if (session->second.lease_until && !session->second.closed)
    offline_floor_.on_session_lost(*session->second.lease_until);
  by_invoker_.erase({session->second.invoker, session->second.incarnation});
  sessions_.erase(session);
}

Floors SessionTable::floors(Millis now) {
  Index applied = log_.applied();
  Index quiesced_index = log_.applied();
  for (const auto& [id, session] : sessions_) {
    if (counts_for_applied(session, now))
      applied = std::min(applied, log_.covered(session.applied));
    if (counts_for_quiesced(session, now))
      quiesced_index = std::min(quiesced_index, log_.covered(session.quiesced_index));
  }
  // What was reported remains valid even after the log has dropped the changes that prove it.
  reported_ = std::max(reported_, applied);
  if (earlier_process_may_count(now))
    return {0, 0, 0, connected_};
  offline_floor_.on_reported(reported_, now);
  const Index followed = std::min(reported_, offline_floor_.followed(known_floor(), now));
  return {reported_, std::min(quiesced_index, reported_), followed, connected_};
}

// An earlier process of this node may have granted leases until shortly before this one started.
bool SessionTable::earlier_process_may_count(Millis now) const {
  return now < started_ + terms_.presumed_dead_after() && !fault_injected("early-report");
}

// Sessions that have had no lease use no host.
Index SessionTable::known_floor() const {
  Index floor = log_.applied();
  for (const auto& [id, session] : sessions_) {
    if (session.lease_until && !session.closed)
      floor = std::min(floor, log_.covered(session.applied));
  }
  return floor;
}

Millis SessionTable::lease_until(SessionId id) const {
  const auto found = sessions_.find(id);
  return found == sessions_.end() ? Millis(0) : found->second.lease_until.value_or(Millis(0));
}

bool SessionTable::counts_for_applied(const Session& session, Millis now) const {
  if (!session.connected && fault_injected("forget-disconnected"))
    return false;
  return session.lease_until && now < *session.lease_until;
}

bool SessionTable::counts_for_quiesced(const Session& session, Millis now) const {
  if (!session.connected && fault_injected("forget-disconnected"))
    return false;
  const Millis calls = fault_injected("forget-calls") ? Millis(0) : max_call_duration();
  return session.lease_until && now < *session.lease_until + calls;
}

}  // namespace lotusyard::control
