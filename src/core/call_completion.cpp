#include "core/call_completion.h"

#include <utility>
#include <vector>

#include "metrics/call_counters.h"

namespace lotusyard::core {
namespace {

const metrics::Counter& counter_of(CallStatus status) {
  switch (status) {
    case CallStatus::succeeded:
      return metrics::kCallsServed;
    case CallStatus::rejected:
      return metrics::kCallsRefused;
    case CallStatus::failed:
      break;
  }
  return metrics::kCallsFailed;
}

}  // namespace

CallCompletion::CallCompletion(Clock clock, CallTable& calls, RefRetention& refs, IdempotencyKeys& keys,
                               HostTransport& hosts, PolicyRunner& policy, metrics::Counters& counters)
    : clock_(std::move(clock)),
      calls_(calls),
      refs_(refs),
      keys_(keys),
      hosts_(hosts),
      policy_(policy),
      counters_(counters) {}

void CallCompletion::finish(CallId id, Answer&& answer) {
  // Removed first: all that follows must find the call ended, or it could be answered twice.
  std::optional<OpenCall> ended = calls_.remove(id);
  if (!ended)
    return;
  counters_.add(counter_of(answer.status));
  ended->front_end().answer(id, std::move(answer));
  cancel_all_attempts(*ended);
  release(*ended);
}

void CallCompletion::reject(CallId id, Millis retry_after) {
  OpenCall* open = calls_.find(id);
  if (open == nullptr)
    return;
  if (rejection_observer_ && open->attempts_allocated() == 0)
    rejection_observer_(open->call());
  cancel_all_attempts(*open);
  open = calls_.find(id);  // the reports of the attempts may have ended it
  if (open != nullptr)
    finish_without_result(*open, retry_after);
}

void CallCompletion::finish_without_result(const OpenCall& open, Millis retry_after) {
  // A rejection tells the client that it may try again.
  const CallStatus status = open.may_have_run() ? CallStatus::failed : CallStatus::rejected;
  finish(open.id(), {status, retry_after, {}});
}

void CallCompletion::client_disconnected(CallId id) {
  if (calls_.find(id) == nullptr)
    return;
  counters_.add(metrics::kCallsLeft);
  // Reported before the attempts end, so that the policy does not retry a call for which nobody waits.
  policy_.report(clock_(), ClientDisconnected{id});
  if (OpenCall* open = calls_.find(id))
    cancel_all_attempts(*open);
  if (const std::optional<OpenCall> ended = calls_.remove(id))
    release(*ended);
}

std::optional<InFlightAttempt> CallCompletion::end_attempt(OpenCall& open, int attempt_number,
                                                           Outcome outcome) {
  std::optional<InFlightAttempt> ended = open.remove_in_flight(attempt_number, outcome);
  if (!ended || !policy::proves_never_ran(outcome))
    return ended;
  if (open.needs_key())
    keys_.record_not_run(open.call(), ended->attempt);
  if (open.never_ran())
    open.front_end().proved_not_run(open.id());
  return ended;
}

void CallCompletion::cancel_attempt(OpenCall& open, int attempt_number, Outcome if_may_have_run,
                                    Outcome if_never_ran) {
  if (const auto ended = cancel_in_flight(open, attempt_number, if_may_have_run, if_never_ran))
    report_ended(*ended, false);
}

void CallCompletion::cancel_all_attempts(OpenCall& open) {
  std::vector<EndedAttempt> ended;
  while (open.has_in_flight()) {
    const int number = open.in_flight().front().attempt.number;
    ended.push_back(*cancel_in_flight(open, number, Outcome::cancelled, Outcome::never_ran));
  }
  // Each report may end the call, so `open` is not used any more.
  for (const auto& attempt : ended)
    report_ended(attempt, true);
}

std::optional<CallCompletion::EndedAttempt> CallCompletion::cancel_in_flight(OpenCall& open,
                                                                             int attempt_number,
                                                                             Outcome if_may_have_run,
                                                                             Outcome if_never_ran) {
  if (open.find_in_flight(attempt_number) == nullptr)
    return std::nullopt;
  const bool may_have_run = hosts_.cancel_attempt({open.id(), attempt_number});
  const Outcome outcome = may_have_run ? if_may_have_run : if_never_ran;
  return EndedAttempt{*end_attempt(open, attempt_number, outcome), outcome};
}

void CallCompletion::report_ended(const EndedAttempt& ended, bool call_ended) {
  const Millis now = clock_();
  const InFlightAttempt& attempt = ended.attempt;
  const Millis elapsed = now - attempt.sent_at;
  policy_.report(now,
                 AttemptOutcome{attempt.attempt, attempt.host, ended.outcome, call_ended, 0, elapsed, {}});
}

void CallCompletion::release(const OpenCall& ended) {
  if (ended.needs_key())
    keys_.end(ended.call(), key_rule(ended.call_class()), clock_());
  refs_.retain(ended.call().ref, clock_());
}

}  // namespace lotusyard::core
