#include "core/dispatcher.h"

#include <algorithm>
#include <utility>

#include "metrics/call_counters.h"

namespace lotusyard::core {
namespace {

// An attempt that begins 0.1 s after its caller cancelled is a fault: what has stood unread for longer than
// this is read first.
constexpr Millis kUnreadMost{50};

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

Dispatcher::Dispatcher(const Settings& settings, Clock clock, HostTransport& hosts,
                       metrics::Counters& counters)
    : settings_(std::make_shared<const Settings>(settings)),
      clock_(std::move(clock)),
      hosts_(hosts),
      counters_(counters),
      policy_driver_(settings, clock_()) {}

Dispatcher::OpenCall* Dispatcher::find_open_call(CallId id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

void Dispatcher::end_key_use(const OpenCall& open) {
  if (open.keyed())
    keys_.end(open.call, key_rule(*open.call_class), clock_());
}

void Dispatcher::client_disconnected(CallId id) {
  if (find_open_call(id) == nullptr)
    return;
  counters_.add(metrics::kCallsLeft);
  // The module hears of it before the attempts end: it must not try again what nobody waits for.
  run(policy_driver_.report(clock_(), ClientDisconnected{id}));
  if (OpenCall* open = find_open_call(id))
    cancel_attempts(id, *open);
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  end_key_use(found->second);
  remember_ref(found->second.call.ref);
  calls_.erase(found);
}

std::optional<Dispatcher::InFlightAttempt> Dispatcher::remove_attempt(CallId id, OpenCall& open, int number,
                                                                      Outcome outcome) {
  const auto same = [number](const InFlightAttempt& o) { return o.attempt.number == number; };
  const auto found = std::find_if(open.in_flight.begin(), open.in_flight.end(), same);
  if (found == open.in_flight.end())
    return std::nullopt;
  InFlightAttempt out = std::move(*found);
  open.in_flight.erase(found);
  if (!policy::proves_never_ran(outcome)) {
    open.may_have_run = true;
  } else {
    if (open.keyed())
      keys_.record_not_run(open.call, out.attempt);
    if (!open.may_have_run && open.in_flight.empty())
      open.front->proved_not_run(id);
  }
  return out;
}

void Dispatcher::notify_attempt_ended(InFlightAttempt&& out, Outcome outcome, bool call_ended) {
  const Millis now = clock_();
  run(policy_driver_.report(
      now, AttemptOutcome{out.attempt, out.host, outcome, call_ended, 0, now - out.sent, {}}));
}

// Gives up what is out for a call that is over. The call may end meanwhile.
void Dispatcher::cancel_attempts(CallId id, OpenCall& open) {
  std::vector<std::pair<InFlightAttempt, Outcome>> dropped;
  while (!open.in_flight.empty()) {
    const core::Attempt attempt = open.in_flight.front().attempt;
    const Outcome outcome = hosts_.cancel_attempt(attempt) ? Outcome::cancelled : Outcome::never_ran;
    dropped.emplace_back(*remove_attempt(id, open, attempt.number, outcome), outcome);
  }
  for (auto& [out, outcome] : dropped)
    notify_attempt_ended(std::move(out), outcome, true);
}

void Dispatcher::attempt_ended(const Attempt& attempt, AttemptEnd&& end) {
  OpenCall* open = find_open_call(attempt.call);
  auto out =
      open == nullptr ? std::nullopt : remove_attempt(attempt.call, *open, attempt.number, end.outcome);
  if (!out)
    return;
  const Millis now = clock_();
  const bool served = end.outcome == Outcome::ok;
  AttemptOutcome told{
      attempt, out->host, end.outcome, served, end.host_concurrency, now - out->sent, std::move(end.report)};
  if (attempt_observer_)
    attempt_observer_(out->host, open->call, end.outcome);
  // The answer goes first: the module's turn may be long.
  if (served)
    finish_call(attempt.call, {CallStatus::succeeded, Millis(0), std::move(end.body)});
  run(policy_driver_.report(now, told));
}

const Call* Dispatcher::find_call(CallId id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second.call;
}

Dispatcher::WriteCheck Dispatcher::check_before_write(const Attempt& attempt, Millis decided) {
  OpenCall* open = find_open_call(attempt.call);
  if (open == nullptr)
    return WriteCheck::allowed;  // whoever sent it without a call answers for it
  const Millis now = clock_();
  if (now >= open->call.arrived + open->call.timeout)
    return WriteCheck::call_over;
  switch (open->front->client_state(attempt.call, std::max(decided, now - kUnreadMost))) {
    case FrontEnd::ClientState::waiting:
      return WriteCheck::allowed;
    case FrontEnd::ClientState::has_unread_input:
      return WriteCheck::after_client_read;
    case FrontEnd::ClientState::disconnected:
      break;
  }
  counters_.add(metrics::kAttemptsCallerGone);
  return WriteCheck::call_over;
}

void Dispatcher::read_client_input(const Attempt& attempt) {
  if (OpenCall* open = find_open_call(attempt.call))
    open->front->read_client_input(attempt.call);
}

void Dispatcher::load_ended(LoadOutcome&& end) { run(policy_driver_.report(clock_(), end)); }
void Dispatcher::probe_ended(ProbeOutcome&& end) { run(policy_driver_.report(clock_(), end)); }
void Dispatcher::update_endpoints(HostList&& list) {
  if (list.kind != ListKind::delta)
    host_locations_.clear();
  for (const auto& entry : list.entries) {
    if (entry.state == policy::HostState::gone) {
      host_locations_.erase(entry.host);
    } else {
      host_locations_[entry.host] = {entry.zone, entry.cell};
    }
  }
  run(policy_driver_.report(clock_(), list));
}

void Dispatcher::abort_calls(CallSelection kind, const std::function<bool(CallId)>& which) {
  const auto meant = [&](const OpenCall& open) {
    return kind == CallSelection::all || (open.in_flight.empty() && !open.may_have_run);
  };
  std::vector<CallId> named;
  for (const auto& [id, open] : calls_) {
    if (meant(open) && which(id))
      named.push_back(id);
  }
  std::sort(named.begin(), named.end());  // the order of a hash table tells nothing
  for (const CallId id : named) {
    const OpenCall* open = find_open_call(id);
    if (open == nullptr || !meant(*open))
      continue;  // by what became of the others
    run(policy_driver_.report(clock_(),
                              ClientDisconnected{id}));  // it must not try again what gets its answer now
    execute(RejectStep{id, Millis(0)});
  }
}

void Dispatcher::apply_settings(const Settings& settings) {
  settings_ = std::make_shared<const Settings>(settings);
  run(policy_driver_.report(clock_(), NewSettings{settings}));
}

void Dispatcher::tick() {
  const Millis now = clock_();
  run(policy_driver_.tick(now));
  while (!deadlines_.empty() && deadlines_.top().at <= now) {
    const Deadline due = deadlines_.top();
    deadlines_.pop();
    OpenCall* open = find_open_call(due.call);
    if (open == nullptr)
      continue;
    if (due.attempt >= 0) {
      const auto same = [&](const InFlightAttempt& o) { return o.attempt.number == due.attempt; };
      const auto found = std::find_if(open->in_flight.begin(), open->in_flight.end(), same);
      if (found == open->in_flight.end())
        continue;
      counters_.add(metrics::kAttemptsTimedOut);
      // What was held for its caller's sake says nothing of the host.
      const bool held = check_before_write(found->attempt, found->sent) == WriteCheck::after_client_read;
      const Outcome never_went = held ? Outcome::never_ran : Outcome::connect_failed;
      const Outcome outcome = hosts_.cancel_attempt(found->attempt) ? Outcome::timeout : never_went;
      notify_attempt_ended(*remove_attempt(due.call, *open, due.attempt, outcome), outcome, false);
    } else {
      // A call that the module forgot would never be answered.
      counters_.add(metrics::kCallsOverdue);
      run(policy_driver_.report(now, ClientDisconnected{due.call}));
      if (find_open_call(due.call) != nullptr)
        finish_call(due.call, Answer{});
    }
  }
}

Millis Dispatcher::next_deadline() const {
  const Millis module = policy_driver_.next_tick();
  return deadlines_.empty() ? module : std::min(module, deadlines_.top().at);
}

void Dispatcher::run(Steps&& steps) {
  for (auto& step : steps)
    steps_.push_back(std::move(step));
  if (executing_steps_)
    return;  // the outer run carries these out in their order
  executing_steps_ = true;
  while (!steps_.empty()) {
    const Step step = std::move(steps_.front());
    steps_.pop_front();
    std::visit([this](const auto& s) { execute(s); }, step);
  }
  executing_steps_ = false;
}

void Dispatcher::finish_call(CallId id, Answer&& answer) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  OpenCall open = std::move(found->second);
  calls_.erase(found);  // first: whatever follows finds the call ended
  counters_.add(counter_of(answer.status));
  open.front->answer(id, std::move(answer));
  cancel_attempts(id, open);
  end_key_use(open);
  remember_ref(open.call.ref);
}

}  // namespace lotusyard::core
