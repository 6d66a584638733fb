#include "core/dispatcher.h"

#include <algorithm>
#include <utility>

namespace lotusyard::core {
namespace {

// An attempt that begins 0.1 s after its caller cancelled is a fault: what has stood unread for longer than
// this is read first.
constexpr Millis kUnreadMost{50};

}  // namespace

Dispatcher::Dispatcher(const Settings& settings, Clock clock, Hosts& hosts, Counters& counters)
    : settings_(std::make_shared<const Settings>(settings)),
      clock_(std::move(clock)),
      hosts_(hosts),
      counters_(counters),
      module_(settings, clock_()) {}

Dispatcher::Open* Dispatcher::find(CallId id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

void Dispatcher::end_keyed(const Open& open) {
  if (open.keyed()) keys_.end(open.call, key_rule(*open.cls), clock_());
}

void Dispatcher::leave(CallId id) {
  if (find(id) == nullptr) return;
  counters_.add("calls.left");
  // The module hears of it before the attempts end: it must not try again what nobody waits for.
  run(module_.report(clock_(), CallLeft{id}));
  if (Open* open = find(id)) drop_all(id, *open);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  end_keyed(found->second);
  remember_ref(found->second.call.ref);
  calls_.erase(found);
}

std::optional<Dispatcher::Out> Dispatcher::take_out(CallId id, Open& open, int number, Outcome outcome) {
  const auto same = [number](const Out& o) { return o.attempt.number == number; };
  const auto found = std::find_if(open.out.begin(), open.out.end(), same);
  if (found == open.out.end()) return std::nullopt;
  Out out = std::move(*found);
  open.out.erase(found);
  if (!robinfold::proves_never_ran(outcome)) {
    open.may_have_run = true;
  } else {
    if (open.keyed()) keys_.never_ran(open.call, out.attempt);
    if (!open.may_have_run && open.out.empty()) open.front->never_ran(id);
  }
  return out;
}

void Dispatcher::tell_end(Out&& out, Outcome outcome, bool over) {
  const Millis now = clock_();
  run(module_.report(now, AttemptOutcome{out.attempt, out.host, outcome, over, 0, now - out.sent, {}}));
}

// Gives up what is out for a call that is over. The call may end meanwhile.
void Dispatcher::drop_all(CallId id, Open& open) {
  std::vector<std::pair<Out, Outcome>> dropped;
  while (!open.out.empty()) {
    const core::Attempt attempt = open.out.front().attempt;
    const Outcome outcome = hosts_.drop(attempt) ? Outcome::cancelled : Outcome::moot;
    dropped.emplace_back(*take_out(id, open, attempt.number, outcome), outcome);
  }
  for (auto& [out, outcome] : dropped) tell_end(std::move(out), outcome, true);
}

void Dispatcher::attempt_ended(const Attempt& attempt, AttemptEnd&& end) {
  Open* open = find(attempt.call);
  auto out = open == nullptr ? std::nullopt : take_out(attempt.call, *open, attempt.number, end.outcome);
  if (!out) return;
  const Millis now = clock_();
  const bool served = end.outcome == Outcome::ok;
  AttemptOutcome told{attempt,   out->host,       end.outcome,          served,
                      end.crowd, now - out->sent, std::move(end.report)};
  if (witness_) witness_(out->host, open->call, end.outcome);
  // The answer goes first: the module's turn may be long.
  if (served) finish(attempt.call, {Verdict::served, Millis(0), std::move(end.body)});
  run(module_.report(now, told));
}

const Call* Dispatcher::call_of(CallId id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second.call;
}

Dispatcher::Begin Dispatcher::may_begin(const Attempt& attempt, Millis decided) {
  Open* open = find(attempt.call);
  if (open == nullptr) return Begin::now;  // whoever sent it without a call answers for it
  const Millis now = clock_();
  if (now >= open->call.arrived + open->call.allow) return Begin::over;
  switch (open->front->caller(attempt.call, std::max(decided, now - kUnreadMost))) {
    case Front::Caller::waits: return Begin::now;
    case Front::Caller::spoke: return Begin::once_read;
    case Front::Caller::gone: break;
  }
  counters_.add("attempts.caller_gone");
  return Begin::over;
}

void Dispatcher::read_caller(const Attempt& attempt) {
  if (Open* open = find(attempt.call)) open->front->read_caller(attempt.call);
}

void Dispatcher::load_ended(LoadOutcome&& end) { run(module_.report(clock_(), end)); }
void Dispatcher::probe_ended(ProbeOutcome&& end) { run(module_.report(clock_(), end)); }
void Dispatcher::members(HostList&& list) {
  if (list.kind != ListKind::delta) places_.clear();
  for (const auto& entry : list.entries) {
    if (entry.state == robinfold::WorkerState::gone) {
      places_.erase(entry.worker);
    } else {
      places_[entry.worker] = {entry.zone, entry.cell};
    }
  }
  run(module_.report(clock_(), list));
}

void Dispatcher::give_up(Which kind, const std::function<bool(CallId)>& which) {
  const auto meant = [&](const Open& open) {
    return kind == Which::all || (open.out.empty() && !open.may_have_run);
  };
  std::vector<CallId> named;
  for (const auto& [id, open] : calls_) {
    if (meant(open) && which(id)) named.push_back(id);
  }
  std::sort(named.begin(), named.end());  // the order of a hash table tells nothing
  for (const CallId id : named) {
    const Open* open = find(id);
    if (open == nullptr || !meant(*open)) continue;  // by what became of the others
    run(module_.report(clock_(), CallLeft{id}));     // it must not try again what gets its answer now
    carry_out(RefuseStep{id, Millis(0)});
  }
}

void Dispatcher::retune(const Settings& settings) {
  settings_ = std::make_shared<const Settings>(settings);
  run(module_.report(clock_(), NewSettings{settings}));
}

void Dispatcher::tick() {
  const Millis now = clock_();
  run(module_.tick(now));
  while (!due_.empty() && due_.top().at <= now) {
    const Due due = due_.top();
    due_.pop();
    Open* open = find(due.call);
    if (open == nullptr) continue;
    if (due.attempt >= 0) {
      const auto same = [&](const Out& o) { return o.attempt.number == due.attempt; };
      const auto found = std::find_if(open->out.begin(), open->out.end(), same);
      if (found == open->out.end()) continue;
      counters_.add("attempts.timed_out");
      // Danger: what was held for its caller's sake says nothing of the host.
      const bool held = may_begin(found->attempt, found->sent) == Begin::once_read;
      const Outcome never_went = held ? Outcome::moot : Outcome::connect_failed;
      const Outcome outcome = hosts_.drop(found->attempt) ? Outcome::timeout : never_went;
      tell_end(*take_out(due.call, *open, due.attempt, outcome), outcome, false);
    } else {
      // Danger: a call that the module forgot would never be answered.
      counters_.add("calls.overdue");
      run(module_.report(now, CallLeft{due.call}));
      if (find(due.call) != nullptr) finish(due.call, Answer{});
    }
  }
}

Millis Dispatcher::next_due() const {
  const Millis module = module_.next_tick();
  return due_.empty() ? module : std::min(module, due_.top().at);
}

void Dispatcher::run(Steps&& steps) {
  for (auto& step : steps) steps_.push_back(std::move(step));
  if (running_) return;  // the outer run carries these out in their order
  running_ = true;
  while (!steps_.empty()) {
    const Step step = std::move(steps_.front());
    steps_.pop_front();
    std::visit([this](const auto& s) { carry_out(s); }, step);
  }
  running_ = false;
}

void Dispatcher::finish(CallId id, Answer&& answer) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  Open open = std::move(found->second);
  calls_.erase(found);  // first: whatever follows finds the call ended
  static const char* const names[] = {"calls.served", "calls.refused", "calls.failed"};
  counters_.add(names[static_cast<std::size_t>(answer.verdict)]);
  open.front->answer(id, std::move(answer));
  drop_all(id, open);
  end_keyed(open);
  remember_ref(open.call.ref);
}

}  // namespace lotusyard::core
