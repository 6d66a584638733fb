// What the module decided is carried out, if it keeps the rules.
#include <algorithm>
#include <utility>

#include "core/dispatcher.h"

namespace lotusyard::core {
namespace {

// The settings know a second copy, and no further ones.
std::size_t most_out(const Settings& rules) { return rules.second_copies ? 2 : 1; }

}  // namespace

// Whether a further attempt keeps the rules: a few out, a second copy elsewhere, nothing twice that may have
// run where that is not allowed.
bool Dispatcher::may_send_to(const OpenCall& open, const std::string& host) const {
  if (open.in_flight.size() >= most_out(*open.rules))
    return false;
  const auto there = [&](const InFlightAttempt& o) { return o.host == host; };
  if (std::any_of(open.in_flight.begin(), open.in_flight.end(), there))
    return false;
  if (open.attempts >= open.rules->max_attempts)
    return false;
  switch (open.cls->semantics) {
    case policy::Semantics::repeatable:
      return true;
    case policy::Semantics::once:
      return !open.may_have_run && open.in_flight.empty();
    case policy::Semantics::keyed:
      break;
  }
  const auto place = places_.find(host);
  return place != places_.end() && keys_.may_send_to(open.call, key_rule(*open.cls), place->second, clock_());
}

void Dispatcher::execute(const SendStep& step) {
  OpenCall* open = find_open_call(step.call);
  if (open == nullptr)
    return;
  const Millis now = clock_(), left = open->call.arrived + open->call.allow - now;
  const Millis patience = step.patience.count() > 0 ? std::min(step.patience, left) : left;
  // Guards the rules whatever the module says.
  const bool fits = may_send_to(*open, step.host) && patience.count() >= 1;
  const Attempt attempt{step.call, open->attempts++};
  if (!fits) {
    counters_.add("guard.send_stopped");
    const bool other_out = !open->in_flight.empty();
    if (!other_out)
      finish_call(step.call, Answer{});
    run(module_.report(now, AttemptOutcome{attempt, step.host, Outcome::moot, !other_out, 0, {}, {}}));
    return;
  }
  if (!open->front->before_attempt(step.call)) {
    counters_.add("attempts.withheld");
    const bool harmless = !open->may_have_run;
    finish_call(step.call, {harmless ? Verdict::refused : Verdict::failed, Millis(0), {}});
    run(module_.report(now, AttemptOutcome{attempt, step.host, Outcome::moot, true, 0, {}, {}}));
    return;
  }
  counters_.add(open->in_flight.empty() ? "attempts.sent" : "attempts.second");
  if (open->keyed())
    keys_.record_send(open->call, attempt, places_.at(step.host), now);
  open->in_flight.push_back(InFlightAttempt{attempt, step.host, now});
  deadlines_.push({now + patience, step.call, attempt.number});
  // The record of the attempt may have waited for a disk.
  hosts_.send_attempt(attempt, step.host, open->call, std::min(patience, now + patience - clock_()));
}

void Dispatcher::execute(const RefuseStep& step) {
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
  finish_call(step.call, {harmless ? Verdict::refused : Verdict::failed, step.cooldown, {}});
}

void Dispatcher::execute(const FailStep& step) { finish_call(step.call, Answer{}); }

void Dispatcher::execute(const CancelStep& step) {
  OpenCall* open = find_open_call(step.attempt.call);
  if (open == nullptr)
    return;
  const auto same = [&](const InFlightAttempt& o) { return o.attempt == step.attempt; };
  if (std::none_of(open->in_flight.begin(), open->in_flight.end(), same))
    return;
  counters_.add("attempts.cancelled");
  const Outcome outcome = hosts_.cancel_attempt(step.attempt) ? Outcome::cancelled : Outcome::moot;
  notify_attempt_ended(*remove_attempt(step.attempt.call, *open, step.attempt.number, outcome), outcome,
                       false);
}

void Dispatcher::execute(const LoadStep& step) {
  counters_.add("orders.sent");
  hosts_.load_copies(step.host, step.function, step.copies);
}

}  // namespace lotusyard::core
