#include "control/session_table.h"

#include <algorithm>

#include "core/fault_injection.h"

namespace lotusyard::control {
namespace {

constexpr Millis kShortestLease{20};      // a shorter one is over before it arrives
constexpr Millis kShortestRetry{200};     // after a refusal for too many at once
constexpr double kSecondInMillis = 1000;  // rates are by the second

}  // namespace

SessionTable::SessionTable(const raft::LeaseTerms& terms, Limits limits, const ChangeLog& log, Millis started)
    : terms_(terms),
      limits_(limits),
      log_(log),
      started_(started),
      offline_floor_(terms, started + terms.presumed_dead_after()),
      tokens_(limits.opens_at_once),
      filled_at_(started) {}

SessionTable::Admission SessionTable::open(const std::string& invoker, std::uint64_t incarnation,
                                           Index position, Millis now) {
  const auto refused = [](RefusalReason reason, Millis retry_after) {
    return Admission{0, false, reason, retry_after};
  };
  if (position > log_.applied())
    return refused(RefusalReason::node_behind, terms_.heartbeat_interval());
  const auto key = std::make_pair(invoker, incarnation);
  const auto known = by_invoker_.find(key);
  const bool is_new = known == by_invoker_.end();
  if (!is_new && position < sessions_.at(known->second).applied)
    return {0, true, {}, Millis(0)};
  if (is_new && sessions_.size() >= limits_.sessions)
    expire(now);
  if (is_new && sessions_.size() >= limits_.sessions)
    return refused(RefusalReason::full, terms_.presumed_dead_after());
  const Millis wait = take_token(now);
  if (wait.count() > 0)
    return refused(RefusalReason::busy, wait);

  const SessionId id = is_new ? ++last_id_ : known->second;
  by_invoker_[key] = id;
  Session& session = sessions_[id];
  if (!session.connected)
    ++connected_;
  session.invoker = invoker;
  session.incarnation = incarnation;
  session.connected = true;
  session.closed = false;
  session.applied = position;
  return {id, false, {}, Millis(0)};
}

bool SessionTable::report(SessionId id, Index applied, Index settled) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end())
    return false;
  Session& session = found->second;
  const bool goes_back = applied < session.applied || settled < session.settled;
  if (goes_back || applied > log_.applied() || settled > applied)
    return false;
  session.applied = applied;
  session.settled = settled;
  return true;
}

Millis SessionTable::grant(SessionId id, Millis node_lease_until, Millis now) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end())
    return Millis(0);
  require_present(node_lease_until, now);
  Session& session = found->second;
  const bool holds_nothing = session.applied == 0;
  const bool is_behind = log_.covered(session.applied) < reported_;
  if ((holds_nothing || is_behind) && !fault_injected("grant-behind"))
    return Millis(0);

  const bool ignores_node = fault_injected("session-outlasts-node");
  const Millis left = (node_lease_until - now) / (1 + terms_.clock_drift);
  const Millis duration = ignores_node ? terms_.lease : std::min(terms_.lease, left);
  if (duration < kShortestLease)
    return Millis(0);
  Millis until = now + duration * (1 + terms_.clock_drift);
  if (!ignores_node)
    until = std::min(until, node_lease_until);  // rounding must not pass it either
  session.lease_until = std::max(session.lease_until.value_or(until), until);
  return duration;
}

// No session holds a lease when the node's own had lapsed, so that any index may be taken for reported.
void SessionTable::require_present(Millis node_lease_until, Millis now) {
  if (node_lease_until <= now || fault_injected("group-went-on"))
    return;
  if (now >= granted_under_)
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
    forget(found);
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
    if (!session->second.connected && !counts_for_settled(session->second, now))
      forget(session);
    session = next;
  }
}

void SessionTable::forget(std::map<SessionId, Session>::iterator session) {
  if (session->second.lease_until && !session->second.closed)
    offline_floor_.vanished(*session->second.lease_until);
  by_invoker_.erase({session->second.invoker, session->second.incarnation});
  sessions_.erase(session);
}

Floors SessionTable::floors(Millis now) {
  Index applied = log_.applied();
  Index settled = log_.applied();
  for (const auto& [id, session] : sessions_) {
    if (counts_for_applied(session, now))
      applied = std::min(applied, log_.covered(session.applied));
    if (counts_for_settled(session, now))
      settled = std::min(settled, log_.covered(session.settled));
  }
  // What was reported stays true, also where the log has lost the changes that showed it.
  reported_ = std::max(reported_, applied);
  // An earlier process of this node may have granted leases until shortly before this one started.
  const bool may_have_earlier =
      now < started_ + terms_.presumed_dead_after() && !fault_injected("early-report");
  if (may_have_earlier)
    return {0, 0, 0, connected_};
  offline_floor_.reported(reported_, now);
  const Index followed = std::min(reported_, offline_floor_.followed(known_floor(), now));
  return {reported_, std::min(settled, reported_), followed, connected_};
}

// Sessions that never had a lease use no host.
Index SessionTable::known_floor() const {
  Index out = log_.applied();
  for (const auto& [id, session] : sessions_) {
    if (session.lease_until && !session.closed)
      out = std::min(out, log_.covered(session.applied));
  }
  return out;
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

bool SessionTable::counts_for_settled(const Session& session, Millis now) const {
  if (!session.connected && fault_injected("forget-disconnected"))
    return false;
  const Millis calls = fault_injected("forget-calls") ? Millis(0) : last_call();
  return session.lease_until && now < *session.lease_until + calls;
}

Millis SessionTable::take_token(Millis now) {
  const double gained = (now - filled_at_).count() / kSecondInMillis * limits_.opens_per_second;
  tokens_ = std::min(limits_.opens_at_once, tokens_ + gained);
  filled_at_ = now;
  if (tokens_ >= 1) {
    --tokens_;
    return Millis(0);
  }
  const Millis next((1 - tokens_) / limits_.opens_per_second * kSecondInMillis);
  return std::max(next, kShortestRetry);
}

}  // namespace lotusyard::control
