// What the module decided is carried out, if it keeps the rules.
#include <algorithm>
#include <utility>

#include "core/dispatcher.h"
#include "metrics/call_counters.h"

namespace lotusyard::core {
namespace {

// The settings know a second copy, and no further ones.
std::size_t max_in_flight_attempts(const Settings& rules) { return rules.retries.hedged_requests ? 2 : 1; }

}  // namespace

// Whether a further attempt keeps the rules: a few out, a second copy elsewhere, nothing twice that may have
// run where that is not allowed.
bool Dispatcher::may_send_to(const OpenCall& open, const std::string& host) const {
  if (open.in_flight.size() >= max_in_flight_attempts(*open.rules))
    return false;
  const auto there = [&](const InFlightAttempt& o) { return o.host == host; };
  if (std::any_of(open.in_flight.begin(), open.in_flight.end(), there))
    return false;
  if (open.attempts >= open.rules->retries.max_attempts)
    return false;
  switch (open.call_class->semantics) {
    case policy::Semantics::idempotent:
      return true;
    case policy::Semantics::non_idempotent:
      return !open.may_have_run && open.in_flight.empty();
    case policy::Semantics::idempotent_with_key:
      break;
  }
  const auto place = host_locations_.find(host);
  return place != host_locations_.end() &&
         keys_.may_send_to(open.call, key_rule(*open.call_class), place->second, clock_());
}

void Dispatcher::execute(const SendStep& step) {
  OpenCall* open = find_open_call(step.call);
  if (open == nullptr)
    return;
  const Millis now = clock_(), left = open->call.arrived + open->call.timeout - now;
  const Millis attempt_timeout =
      step.attempt_timeout.count() > 0 ? std::min(step.attempt_timeout, left) : left;
  // Guards the rules whatever the module says.
  const bool fits = may_send_to(*open, step.host) && attempt_timeout.count() >= 1;
  const Attempt attempt{step.call, open->attempts++};
  if (!fits) {
    counters_.add(metrics::kGuardSendStopped);
    const bool other_out = !open->in_flight.empty();
    if (!other_out)
      finish_call(step.call, Answer{});
    run(policy_driver_.report(now,
                              AttemptOutcome{attempt, step.host, Outcome::never_ran, !other_out, 0, {}, {}}));
    return;
  }
  if (!open->front->before_attempt(step.call)) {
    counters_.add(metrics::kAttemptsWithheld);
    const bool harmless = !open->may_have_run;
    finish_call(step.call, {harmless ? CallStatus::rejected : CallStatus::failed, Millis(0), {}});
    run(policy_driver_.report(now, AttemptOutcome{attempt, step.host, Outcome::never_ran, true, 0, {}, {}}));
    return;
  }
  counters_.add(open->in_flight.empty() ? metrics::kAttemptsSent : metrics::kAttemptsSecond);
  if (open->keyed())
    keys_.record_send(open->call, attempt, host_locations_.at(step.host), now);
  open->in_flight.push_back(InFlightAttempt{attempt, step.host, now});
  deadlines_.push({now + attempt_timeout, step.call, attempt.number});
  // The record of the attempt may have waited for a disk.
  hosts_.send_attempt(attempt, step.host, open->call,
                      std::min(attempt_timeout, now + attempt_timeout - clock_()));
}

void Dispatcher::execute(const RejectStep& step) {
  OpenCall* open = find_open_call(step.call);
  if (open == nullptr)
    return;
  if (rejection_observer_ && open->attempts == 0)
    rejection_observer_(open->call);
  cancel_attempts(step.call, *open);
  if ((open = find_open_call(step.call)) == nullptr)
    return;
  // A refusal says that trying again is harmless; what may have run is failed, with the same advice.
  const bool harmless = !open->may_have_run;
  finish_call(step.call, {harmless ? CallStatus::rejected : CallStatus::failed, step.retry_after, {}});
}

void Dispatcher::execute(const FailStep& step) { finish_call(step.call, Answer{}); }

void Dispatcher::execute(const CancelStep& step) {
  OpenCall* open = find_open_call(step.attempt.call);
  if (open == nullptr)
    return;
  const auto same = [&](const InFlightAttempt& o) { return o.attempt == step.attempt; };
  if (std::none_of(open->in_flight.begin(), open->in_flight.end(), same))
    return;
  counters_.add(metrics::kAttemptsCancelled);
  const Outcome outcome = hosts_.cancel_attempt(step.attempt) ? Outcome::cancelled : Outcome::never_ran;
  notify_attempt_ended(*remove_attempt(step.attempt.call, *open, step.attempt.number, outcome), outcome,
                       false);
}

void Dispatcher::execute(const LoadStep& step) {
  counters_.add(metrics::kOrdersSent);
  hosts_.load_copies(step.host, step.function, step.copies);
}

}  // namespace lotusyard::core
