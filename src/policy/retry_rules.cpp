#include "policy/retry_rules.h"

#include <algorithm>

#include "policy/outlier_detector.h"

namespace lotusyard::policy {

bool RetryRules::may_repeat(const Request& request, const Host* to) const {
  const ClassSettings* settings = classes_.settings(request.class_index);
  return std::all_of(request.attempts.begin(), request.attempts.end(),
                     [&](const Attempt& attempt) { return may_follow(attempt, settings, to); });
}

bool RetryRules::may_follow(const Attempt& attempt, const ClassSettings* settings, const Host* to) const {
  if (attempt.state == AttemptState::never_ran)
    return true;
  if (settings == nullptr || settings->semantics == Semantics::non_idempotent)
    return false;
  if (settings->semantics == Semantics::idempotent)
    return true;
  if (context_.now() - attempt.sent_at + context_.settings().tick > settings->key_window)
    return false;
  if (settings->scope == KeyScope::all)
    return true;
  if (to == nullptr)
    return false;
  const HostEntry& first = hosts_.at(attempt.host).entry;
  return settings->scope == KeyScope::zone ? to->entry.zone == first.zone : to->entry.cell == first.cell;
}

bool RetryRules::may_retry(const Request& request) const {
  if (!request.has_attempts_left())
    return false;
  if (may_repeat_anywhere(request))
    return true;
  return std::any_of(hosts_.begin(), hosts_.end(),
                     [&](const Host& host) { return may_repeat_on(request, host); });
}

bool RetryRules::may_attempt(const Request& request) const {
  const int others = context_.settings().retries.hedged_requests ? 1 : 0;
  return request.has_attempts_left() && request.in_flight() <= others;
}

bool RetryRules::is_overdue(const Request& request, const Attempt& attempt) const {
  Function& function = *request.function;
  // An instance that is only assumed to exist may still be loading: its calls are slow, not lost.
  const InstanceSet* instances = function.find_instances(attempt.host);
  const bool is_proven = instances != nullptr && instances->proven;
  const double load = is_proven ? 0 : functions_.load_time(function) * kLoadTimeoutFactor;
  const double stretch = std::max(1.0, host_load_.stretch(hosts_.at(attempt.host)));
  const Millis answer_timeout = OutlierDetector::answer_timeout(functions_.baseline(function) * stretch);
  return context_.now() - attempt.sent_at > answer_timeout + Millis(load);
}

}  // namespace lotusyard::policy
