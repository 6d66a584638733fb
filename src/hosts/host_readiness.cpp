#include "hosts/host_readiness.h"

#include <algorithm>

namespace lotusyard::hosts {
namespace {

// The shortest time after which a published change that did not arrive counts as notified.
constexpr Millis kMinNotificationDelay{2000};
// The longest such time. Without health checks, a host's answer is valid for as long.
constexpr Millis kMaxNotificationDelay{7000};
// The longest time between the check of a request and the arrival of its first byte at the host.
constexpr Millis kWriteMargin{200};
// A list is confirmed at least once in this many intervals, unless the source has failed.
constexpr int kMissedConfirmations = 2;
// This many refusals in a row, or one by a host that has taken no call for kMaxNotificationDelay, may mean
// that the host is draining.
constexpr int kSuspectRefusals = 3;
// A host that did not answer a health check gets no new work for this long.
constexpr Millis kUnresponsivePause{1000};

// The margin takes at most half of a short grace.
Millis with_margin(Millis grace) { return std::max(grace - kWriteMargin, grace / 2); }

bool is_suspect(const HostReadiness& host) {
  if (host.refusals == 0)
    return false;
  return host.refusals >= kSuspectRefusals || host.refused_at - host.accepted_at > kMaxNotificationDelay;
}

ReadinessResult withheld(WithheldReason reason) { return {Readiness::withheld, reason}; }

}  // namespace

ReadinessTerms readiness_terms(const core::Settings& settings, Millis list_interval) {
  ReadinessTerms terms;
  const Millis grace = settings.endpoint_list.drain_grace;
  if (grace.count() <= 0)
    return terms;
  terms.checks_hosts = settings.host_protocol.accepts_probes;
  terms.list_validity =
      std::max(kMinNotificationDelay, list_interval * kMissedConfirmations) + with_margin(grace);
  terms.answer_validity = terms.checks_hosts ? with_margin(grace) : kMaxNotificationDelay;
  return terms;
}

std::string_view name_of(WithheldReason reason) {
  switch (reason) {
    case WithheldReason::declared_draining:
      return "declared_draining";
    case WithheldReason::refuses_calls:
      return "refuses_calls";
    case WithheldReason::unresponsive:
      return "unresponsive";
    case WithheldReason::list_too_old:
      break;
  }
  return "list_too_old";
}

void HostReadiness::record_accepted(Millis sent_at) {
  accepted_at = std::max(accepted_at, sent_at);
  if (sent_at >= refused_at)
    refusals = 0;
}

void HostReadiness::record_refused(Millis now) {
  refused_at = now;
  ++refusals;
}

void HostReadiness::record_healthy(Millis sent_at, Millis now) {
  record_accepted(sent_at);
  checked_at = now;
  declared_draining = false;
  unresponsive_until = kNever;
}

void HostReadiness::record_unhealthy(Millis now) {
  checked_at = now;
  declared_draining = true;
}

void HostReadiness::record_unresponsive(Millis now) {
  checked_at = now;
  unresponsive_until = now + kUnresponsivePause;
}

// Discovery may have been unavailable for long already, in which case a new change counts as notified at
// once.
void ReadinessRules::confirm_configured_list(Millis at) { confirm_list(at - kMinNotificationDelay); }

bool ReadinessRules::is_list_current(Millis now) const {
  return terms_.list_validity.count() <= 0 || list_age(now) <= terms_.list_validity;
}

bool ReadinessRules::is_list_ageing(Millis now) const {
  return terms_.list_validity.count() > 0 && list_age(now) > terms_.list_validity / 2;
}

ReadinessResult ReadinessRules::evaluate(const HostReadiness& host, bool has_known_connection,
                                         Millis now) const {
  if (terms_.list_validity.count() <= 0)
    return {};
  if (host.declared_draining)
    return withheld(WithheldReason::declared_draining);
  if (now < host.unresponsive_until)
    return withheld(WithheldReason::unresponsive);
  return is_list_current(now) ? evaluate_by_list(host) : evaluate_by_answers(host, has_known_connection, now);
}

// Lists arrive late: a host that rejects calls may be draining although the list is confirmed.
ReadinessResult ReadinessRules::evaluate_by_list(const HostReadiness& host) const {
  return {terms_.checks_hosts && is_suspect(host) ? Readiness::unconfirmed : Readiness::confirmed, {}};
}

ReadinessResult ReadinessRules::evaluate_by_answers(const HostReadiness& host, bool has_known_connection,
                                                    Millis now) const {
  const bool is_proven = now - host.accepted_at <= terms_.answer_validity;
  if (!terms_.checks_hosts) {
    if (host.refusals >= kSuspectRefusals)
      return withheld(WithheldReason::refuses_calls);
    return is_proven ? ReadinessResult() : withheld(WithheldReason::list_too_old);
  }
  if (is_proven && host.refusals == 0)
    return {};
  if (!has_known_connection && !is_same_process(host, now))
    return withheld(WithheldReason::list_too_old);
  return {Readiness::unconfirmed, {}};
}

bool ReadinessRules::is_same_process(const HostReadiness& host, Millis connected_at) const {
  if (terms_.list_validity.count() <= 0)
    return true;
  return connected_at <= std::max(list_confirmed_at_, host.accepted_at) + terms_.list_validity;
}

}  // namespace lotusyard::hosts
