#include "core/step_executor.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "metrics/call_counters.h"

namespace lotusyard::core {
namespace {

// The time-out that the policy sets for the attempt, limited to the rest of the call's own time-out.
Millis attempt_timeout(const SendStep& step, const OpenCall& open, Millis now) {
  const Millis left = open.expires_at() - now;
  return step.attempt_timeout > Millis(0) ? std::min(step.attempt_timeout, left) : left;
}

}  // namespace

StepExecutor::StepExecutor(Clock clock, const Parts& parts)
    : clock_(std::move(clock)), parts_(parts), guard_(parts.keys, parts.host_locations) {}

void StepExecutor::execute(const Step& step) {
  std::visit([this](const auto& one) { on(one); }, step);
}

void StepExecutor::on(const SendStep& step) {
  OpenCall* open = parts_.calls.find(step.call);
  if (open == nullptr)
    return;
  const Millis now = clock_();
  const Millis timeout = attempt_timeout(step, *open, now);
  const bool allowed = guard_.allows(*open, step.host, timeout, now);
  const Attempt attempt = open->allocate_attempt();
  if (!allowed) {
    stop_attempt(*open, attempt, step.host, now);
  } else if (!open->front_end().before_attempt(step.call)) {
    withhold_attempt(*open, attempt, step.host, now);
  } else {
    send_attempt(*open, {attempt, step.host, now}, timeout);
  }
}

void StepExecutor::stop_attempt(const OpenCall& open, const Attempt& attempt, const std::string& host,
                                Millis now) {
  parts_.counters.add(metrics::kGuardSendStopped);
  const bool call_ends = !open.has_in_flight();
  if (call_ends)
    parts_.completion.finish(attempt.call, Answer{});
  report_not_sent(attempt, host, call_ends, now);
}

void StepExecutor::withhold_attempt(const OpenCall& open, const Attempt& attempt, const std::string& host,
                                    Millis now) {
  parts_.counters.add(metrics::kAttemptsWithheld);
  parts_.completion.finish_without_result(open, Millis(0));
  report_not_sent(attempt, host, true, now);
}

void StepExecutor::report_not_sent(const Attempt& attempt, const std::string& host, bool call_ended,
                                   Millis now) {
  parts_.policy.report(now, AttemptOutcome{attempt, host, Outcome::never_ran, call_ended, 0, {}, {}});
}

void StepExecutor::send_attempt(OpenCall& open, const InFlightAttempt& sent, Millis attempt_timeout) {
  const bool hedged = open.has_in_flight();
  parts_.counters.add(hedged ? metrics::kAttemptsSecond : metrics::kAttemptsSent);
  if (open.needs_key())
    parts_.keys.record_send(open.call(), sent.attempt, *parts_.host_locations.find(sent.host), sent.sent_at);
  open.add_in_flight(sent);
  const Millis expires_at = sent.sent_at + attempt_timeout;
  parts_.deadlines.add_attempt(sent.attempt, expires_at);
  // FrontEnd::before_attempt() may have waited for a disk, so that less time is left.
  const Millis time_left = std::min(attempt_timeout, expires_at - clock_());
  parts_.hosts.send_attempt(sent.attempt, sent.host, open.call(), time_left);
}

void StepExecutor::on(const RejectStep& step) { parts_.completion.reject(step.call, step.retry_after); }

void StepExecutor::on(const FailStep& step) { parts_.completion.finish(step.call, Answer{}); }

void StepExecutor::on(const CancelStep& step) {
  OpenCall* open = parts_.calls.find(step.attempt.call);
  if (open == nullptr || open->find_in_flight(step.attempt.number) == nullptr)
    return;
  parts_.counters.add(metrics::kAttemptsCancelled);
  parts_.completion.cancel_attempt(*open, step.attempt.number, Outcome::cancelled, Outcome::never_ran);
}

void StepExecutor::on(const ProbeStep& step) { parts_.hosts.probe(step.host); }

void StepExecutor::on(const LoadStep& step) {
  parts_.counters.add(metrics::kOrdersSent);
  parts_.hosts.load_copies(step.host, step.function, step.copies);
}

void StepExecutor::on(const UnloadStep& step) { parts_.hosts.unload(step.host, step.function); }

}  // namespace lotusyard::core
