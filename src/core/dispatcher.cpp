#include "core/dispatcher.h"

#include <algorithm>

#include "core/call_validation.h"
#include "metrics/call_counters.h"

namespace lotusyard::core {
namespace {

// A call that the policy has not ended is ended this long after its deadline. This is within the grace in
// which an answer after the deadline still counts.
constexpr Millis kOverdueGrace{2};

std::optional<RejectionReason> rejection_reason(IdempotencyKeys::KeyDecision decision) {
  switch (decision) {
    case IdempotencyKeys::KeyDecision::accepted:
      return std::nullopt;
    case IdempotencyKeys::KeyDecision::other_request:
      return RejectionReason::key_of_other_request;
    case IdempotencyKeys::KeyDecision::window_over:
      return RejectionReason::key_window_over;
    case IdempotencyKeys::KeyDecision::full:
      break;
  }
  return RejectionReason::too_many_keys;
}

bool is_selected(const OpenCall& open, Dispatcher::CallSelection selection) {
  return selection == Dispatcher::CallSelection::all || open.never_ran();
}

}  // namespace

Dispatcher::Dispatcher(const Settings& settings, Clock clock, HostTransport& hosts,
                       metrics::Counters& counters)
    : settings_(std::make_shared<const Settings>(settings)),
      clock_(std::move(clock)),
      counters_(counters),
      refs_(settings),
      policy_(settings, clock_(), [this](const Step& step) { step_executor_.execute(step); }),
      completion_(clock_, calls_, refs_, keys_, hosts, policy_, counters),
      step_executor_(clock_,
                     {calls_, keys_, host_locations_, deadlines_, hosts, policy_, completion_, counters}) {
  keys_.set_max_bytes(settings.idempotency_key_bytes);
}

std::optional<RejectionReason> Dispatcher::admit(CallId id, Call&& call, FrontEnd& front_end) {
  if (const auto reason = check_admission(call)) {
    counters_.add(counter_of(*reason));
    return reason;
  }
  refs_.add(call.ref);
  counters_.add(metrics::kCallsTaken);
  const OpenCall& open = calls_.add(OpenCall(id, std::move(call), front_end, settings_));
  deadlines_.add_call(id, open.expires_at() + kOverdueGrace);
  policy_.pick(clock_(), id, open.call());
  return std::nullopt;
}

// If it returns nothing, the call has been registered with its idempotency key, if it needs one.
std::optional<RejectionReason> Dispatcher::check_admission(const Call& call) {
  if (const auto reason = validate_call(call, *settings_))
    return reason;
  refs_.expire(clock_());
  if (refs_.contains(call.ref))
    return RejectionReason::repeated_ref;
  const policy::ClassSettings& call_class = *class_named(*settings_, call.class_name);
  if (call_class.semantics != policy::Semantics::idempotent_with_key)
    return std::nullopt;
  return rejection_reason(keys_.begin(call, key_rule(call_class), clock_()));
}

void Dispatcher::abort_calls(CallSelection selection, const std::function<bool(CallId)>& applies) {
  const auto selected = calls_.ids_where(
      [&](const OpenCall& open) { return is_selected(open, selection) && applies(open.id()); });
  for (const CallId id : selected) {
    const OpenCall* open = calls_.find(id);
    if (open == nullptr || !is_selected(*open, selection))
      continue;  // ending the calls before it has changed this one
    // The policy must not send another attempt of a call that is about to be answered.
    policy_.report(clock_(), ClientDisconnected{id});
    completion_.reject(id, Millis(0));
  }
}

WriteCheck Dispatcher::check_before_write(const Attempt& attempt, Millis decided_at) {
  const OpenCall* open = calls_.find(attempt.call);
  if (open == nullptr)
    return WriteCheck::allowed;
  const WriteCheck result = core::check_before_write(*open, decided_at, clock_());
  if (result == WriteCheck::client_disconnected)
    counters_.add(metrics::kAttemptsCallerGone);
  return result;
}

void Dispatcher::read_client_input(const Attempt& attempt) {
  if (const OpenCall* open = calls_.find(attempt.call))
    open->front_end().read_client_input(attempt.call);
}

const Call* Dispatcher::find_call(CallId id) const {
  const OpenCall* open = calls_.find(id);
  return open == nullptr ? nullptr : &open->call();
}

void Dispatcher::attempt_ended(const Attempt& attempt, AttemptEnd&& end) {
  OpenCall* open = calls_.find(attempt.call);
  if (open == nullptr)
    return;
  const auto ended = completion_.end_attempt(*open, attempt.number, end.outcome);
  if (!ended)
    return;
  const Millis now = clock_();
  const bool succeeded = end.outcome == Outcome::ok;
  AttemptOutcome outcome{attempt,
                         ended->host,
                         end.outcome,
                         succeeded,
                         end.host_concurrency,
                         now - ended->sent_at,
                         std::move(end.report)};
  if (attempt_observer_)
    attempt_observer_(ended->host, open->call(), end.outcome);
  // The client's answer is sent before the policy runs, which may take long.
  if (succeeded)
    completion_.finish(attempt.call, {CallStatus::succeeded, Millis(0), std::move(end.body)});
  policy_.report(now, std::move(outcome));
}

void Dispatcher::load_ended(LoadOutcome&& outcome) { policy_.report(clock_(), std::move(outcome)); }

void Dispatcher::probe_ended(ProbeOutcome&& outcome) { policy_.report(clock_(), std::move(outcome)); }

void Dispatcher::update_endpoints(HostList&& list) {
  host_locations_.apply(list);
  policy_.report(clock_(), std::move(list));
}

void Dispatcher::apply_settings(const Settings& settings) {
  settings_ = std::make_shared<const Settings>(settings);
  refs_.apply_settings(settings);
  keys_.set_max_bytes(settings.idempotency_key_bytes);
  policy_.report(clock_(), NewSettings{settings});
}

void Dispatcher::tick() {
  const Millis now = clock_();
  policy_.tick(now);
  while (const auto deadline = deadlines_.pop_expired(now))
    on_deadline(*deadline, now);
}

Millis Dispatcher::next_deadline() const { return std::min(policy_.next_tick(), deadlines_.next()); }

void Dispatcher::on_deadline(const Deadline& deadline, Millis now) {
  OpenCall* open = calls_.find(deadline.call);
  if (open == nullptr)
    return;
  if (deadline.attempt_number) {
    on_attempt_timeout(*open, *deadline.attempt_number);
  } else {
    on_call_overdue(deadline.call, now);
  }
}

void Dispatcher::on_attempt_timeout(OpenCall& open, int attempt_number) {
  const InFlightAttempt* expired = open.find_in_flight(attempt_number);
  if (expired == nullptr)
    return;
  counters_.add(metrics::kAttemptsTimedOut);
  // If unread input of the client kept the attempt from being written, the host is not at fault.
  const auto write_check = check_before_write(expired->attempt, expired->sent_at);
  const bool waited_for_client = write_check == WriteCheck::after_reading_client;
  const Outcome if_never_ran = waited_for_client ? Outcome::never_ran : Outcome::connect_failed;
  completion_.cancel_attempt(open, attempt_number, Outcome::timeout, if_never_ran);
}

// The policy ends each call by its deadline. This handles a call that it has lost track of.
void Dispatcher::on_call_overdue(CallId id, Millis now) {
  counters_.add(metrics::kCallsOverdue);
  policy_.report(now, ClientDisconnected{id});
  completion_.finish(id, Answer{});
}

}  // namespace lotusyard::core
