#include "core/attempt_guard.h"

namespace lotusyard::core {
namespace {

// No host can answer in less than this.
constexpr Millis kMinAttemptTimeout{1};

// The settings allow one hedged request beside an attempt, or none.
std::size_t max_in_flight_attempts(const Settings& settings) {
  return settings.retries.hedged_requests ? 2 : 1;
}

bool is_below_in_flight_limit(const OpenCall& open) {
  return open.in_flight().size() < max_in_flight_attempts(open.settings());
}

bool has_attempts_left(const OpenCall& open) {
  return open.attempts_allocated() < open.settings().retries.max_attempts;
}

}  // namespace

bool AttemptGuard::allows(const OpenCall& open, const std::string& host, Millis attempt_timeout,
                          Millis now) const {
  if (!is_below_in_flight_limit(open) || !has_attempts_left(open))
    return false;
  if (open.is_in_flight_at(host))  // a hedged request must go to another host
    return false;
  return attempt_timeout >= kMinAttemptTimeout && may_run_again_at(open, host, now);
}

bool AttemptGuard::may_run_again_at(const OpenCall& open, const std::string& host, Millis now) const {
  switch (open.call_class().semantics) {
    case policy::Semantics::idempotent:
      return true;
    case policy::Semantics::non_idempotent:
      return open.never_ran();
    case policy::Semantics::idempotent_with_key:
      break;
  }
  return is_key_recognised_at(open, host, now);
}

bool AttemptGuard::is_key_recognised_at(const OpenCall& open, const std::string& host, Millis now) const {
  const HostLocation* location = host_locations_.find(host);
  return location != nullptr && keys_.may_send_to(open.call(), key_rule(open.call_class()), *location, now);
}

}  // namespace lotusyard::core
