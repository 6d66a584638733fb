#include "policy/answer_recorder.h"

#include <algorithm>

namespace lotusyard::policy {
namespace {

bool proves_alive(Outcome outcome) {
  return outcome == Outcome::ok || outcome == Outcome::at_capacity || outcome == Outcome::no_instance;
}

double elapsed_ms(const event::AttemptEnded& answer) { return std::max(answer.elapsed.count(), 0.0); }

}  // namespace

void AnswerRecorder::record(const event::AttemptEnded& answer, const Request& request, Host& host,
                            InstanceSet& instances) {
  const bool host_responded = answer.outcome != Outcome::timeout && answer.outcome != Outcome::cancelled;
  if (host_responded)
    host.active_at = context_.now();
  if (proves_alive(answer.outcome))
    liveness_.record_alive(host);
  host_load_.record_report(host, answer.report);
  switch (answer.outcome) {
    case Outcome::ok:
      return record_ok(answer, request, host, instances);
    case Outcome::no_instance:
      return record_miss(*request.function, instances);
    case Outcome::at_capacity:
      return record_full(host);
    case Outcome::connect_failed:
    case Outcome::reset:
      return liveness_.record_broken_connection(host, answer.outcome == Outcome::reset);
    case Outcome::error:
    case Outcome::timeout:
      return record_failure(answer, request, host);
    default:
      return;
  }
}

void AnswerRecorder::record_ok(const event::AttemptEnded& answer, const Request& request, Host& host,
                               InstanceSet& instances) {
  Function& function = *request.function;
  const bool was_warm = answer.warmth == Warmth::warm || answer.warmth == Warmth::unknown;
  if (was_warm)
    record_run(answer, request, host);
  if (answer.warmth == Warmth::cold_start) {
    functions_.record_load(function, std::max(elapsed_ms(answer) - functions_.run_time(function), 1.0));
  }
  outliers_.record_success(host, request.class_index);
  function.host_concurrency += kSparseGain * (answer.host_concurrency - function.host_concurrency);
  function.last_missed = false;
  instances.warm = std::max(instances.warm, 1);
  instances.proven = true;
  instances.used_at = context_.now();
  slow_start_.record_served(request, host);
}

void AnswerRecorder::record_run(const event::AttemptEnded& answer, const Request& request, Host& host) {
  Function& function = *request.function;
  const double elapsed = elapsed_ms(answer);
  functions_.record_run(function, request.class_index, elapsed);
  host_load_.record_stretch(host, elapsed / functions_.baseline(function));
}

void AnswerRecorder::record_miss(Function& function, InstanceSet& instances) const {
  instances.warm = 0;
  if (context_.many_invokers())
    instances.absent_at = context_.now();
  function.last_missed = true;
}

// Many invokers that retried after the same short pause would keep a host at capacity: the pause is random
// and grows with their number.
void AnswerRecorder::record_full(Host& host) {
  const double invokers = 1 + context_.settings().invokers / kManyInvokers / 2;
  host_load_.record_full(host, kFullBackoff * invokers * (kMinJitter + context_.random_fraction()));
}

void AnswerRecorder::record_failure(const event::AttemptEnded& answer, const Request& request, Host& host) {
  Function& function = *request.function;
  // A call of a function that exists on no host fails everywhere, so its failure says nothing about the host.
  const bool is_known = function.run_time.known() || context_.many_invokers();
  const Attempt& attempt = request.attempts[static_cast<std::size_t>(answer.attempt)];
  if (attempt.overdue || !is_known)
    return;  // an overdue attempt was counted already
  const bool is_early = elapsed_ms(answer) < functions_.baseline(function) / 2;
  outliers_.record_failure(host, request.class_index, answer.outcome == Outcome::error && is_early);
}

void AnswerRecorder::record(const event::Loaded& answer, Function& function, Host& host,
                            InstanceSet& instances) {
  if (instances.loading > 0)
    record_order_end(answer, function, instances);
  if (answer.outcome == Outcome::reset || answer.outcome == Outcome::connect_failed) {
    liveness_.record_broken_connection(host, answer.outcome == Outcome::reset);
  } else if (answer.outcome != Outcome::timeout) {
    instances.warm = std::min(std::max(answer.copies, 0), kMaxInstances);
    instances.proven = instances.warm > 0;
    instances.used_at = context_.now();
  }
}

void AnswerRecorder::record_order_end(const event::Loaded& answer, Function& function,
                                      InstanceSet& instances) {
  functions_.end_load(instances);
  // An order that found its instances warm is no sample of the load time: including it would bring the
  // average close to zero.
  const bool loaded = answer.outcome == Outcome::ok && answer.elapsed > kMinLoadTime;
  if (loaded)
    functions_.record_load(function, answer.elapsed.count());
  // Without the pause, orders that fail at once would be sent at every sweep, to one host after another.
  if (answer.copies == 0)
    function.no_order_before = context_.now() + kMinStall;
  if (answer.copies > 0)
    function.last_missed = false;
}

}  // namespace lotusyard::policy
