#include "core/dispatcher.h"

#include <algorithm>
#include <utility>

namespace lotusyard::core {
namespace {

// What the module leaves open is ended this long after its deadline, inside the grace that the rules give.
constexpr Millis kOverdue{2};
constexpr Millis kRefKept{10000};  // a late answer may come under a ref for so long, or the longest limit
constexpr std::size_t kRefsKept = 8192;
constexpr int kMostLanes = 1024;
constexpr double kMostMemoryMb = 1e6;

// The settings know a second copy, and no further ones.
std::size_t most_out(const Settings& rules) { return rules.second_copies ? 2 : 1; }

KeyRule key_rule(const robinfold::ClassSettings& c) { return {c.scope, c.key_window, c.deadline}; }

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

// What no host can use costs hosts and the ration of loads all the same, and may close a connection on which
// others wait: it ends here, whichever front it came through. Nothing if all is well.
const char* Dispatcher::fault_of(const Call& call) const {
  const auto named = [](const std::string& name) {
    return [&name](const auto& entry) { return entry.name == name; };
  };
  const auto* cls = class_named(*settings_, call.class_name);
  if (cls == nullptr) return "calls.unknown_class";
  if (cls->semantics == robinfold::Semantics::keyed && call.key.empty()) return "calls.no_key";
  if (!call.key.empty() && !Keys::sound(call.key)) return "calls.bad_key";
  const auto& tenants = settings_->tenants;
  if (!call.tenant.empty() && !tenants.empty() &&
      std::none_of(tenants.begin(), tenants.end(), named(call.tenant))) {
    return "calls.unknown_tenant";
  }
  double most_mb = settings_->kind_memory_mb.empty() ? kMostMemoryMb : 0;
  for (const auto& [kind, megabytes] : settings_->kind_memory_mb) most_mb = std::max(most_mb, megabytes);
  if (!(call.memory_mb >= 0 && call.memory_mb <= most_mb)) return "calls.bad_figures";
  if (call.lanes < 1 || call.lanes > kMostLanes) return "calls.bad_figures";
  // A client's patience is at most its class's; a millisecond for rounding.
  if (!(call.allow.count() > 0 && call.allow <= cls->deadline + Millis(1))) return "calls.bad_figures";
  return nullptr;
}

// Bounds the memory of refs; the one place where it shrinks.
void Dispatcher::forget_ref(const std::string& ref) {
  const Millis now = clock_();
  const Millis kept = std::max(kRefKept, longest_deadline(*settings_));
  ended_refs_.emplace_back(now, ref);
  while (now - ended_refs_.front().first > kept || ended_refs_.size() > kRefsKept) {
    refs_.erase(ended_refs_.front().second);
    ended_refs_.pop_front();
  }
}

bool Dispatcher::take(CallId id, Call&& call, Front& front) {
  if (const char* fault = fault_of(call)) {
    counters_.add(fault);
    return false;
  }
  // Danger: hosts know a call by its ref; two under one would get each other's answers.
  if (refs_.count(call.ref) != 0) {
    counters_.add("calls.ref_repeated");
    return false;
  }
  const auto* cls = class_named(*settings_, call.class_name);
  if (cls->semantics == robinfold::Semantics::keyed) {
    static const char* const faults[] = {nullptr, "calls.key_of_another", "calls.key_window_over",
                                         "calls.keys_full"};
    if (const char* fault = faults[static_cast<int>(keys_.begin(call, key_rule(*cls), clock_()))]) {
      counters_.add(fault);
      return false;
    }
  }
  refs_.insert(call.ref);
  counters_.add("calls.taken");
  Open& open = calls_[id];
  open.call = std::move(call);
  open.front = &front;
  open.rules = settings_;
  open.cls = cls;
  due_.push({open.call.arrived + open.call.allow + kOverdue, id, -1});
  run(module_.pick(clock_(), id, open.call));
  return true;
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
  forget_ref(found->second.call.ref);
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

Dispatcher::Begin Dispatcher::may_begin(const Attempt& attempt) {
  Open* open = find(attempt.call);
  if (open == nullptr) return Begin::now;  // whoever sent it without a call answers for it
  if (clock_() >= open->call.arrived + open->call.allow) return Begin::over;
  switch (open->front->caller(attempt.call)) {
    case Front::Caller::waits: return Begin::now;
    case Front::Caller::spoke: return Begin::once_read;
    case Front::Caller::gone: break;
  }
  counters_.add("attempts.caller_gone");
  return Begin::over;
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
      const Outcome outcome = hosts_.drop(found->attempt) ? Outcome::timeout : Outcome::connect_failed;
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

// Whether a further attempt keeps the rules: a few out, a second copy elsewhere, nothing twice that may have
// run where that is not allowed.
bool Dispatcher::may_go(const Open& open, const std::string& host) const {
  if (open.out.size() >= most_out(*open.rules)) return false;
  const auto there = [&](const Out& o) { return o.host == host; };
  if (std::any_of(open.out.begin(), open.out.end(), there)) return false;
  if (open.attempts >= open.rules->max_attempts) return false;
  switch (open.cls->semantics) {
    case robinfold::Semantics::repeatable: return true;
    case robinfold::Semantics::once: return !open.may_have_run && open.out.empty();
    case robinfold::Semantics::keyed: break;
  }
  const auto place = places_.find(host);
  return place != places_.end() && keys_.may_go(open.call, key_rule(*open.cls), place->second, clock_());
}

void Dispatcher::carry_out(const SendStep& step) {
  Open* open = find(step.call);
  if (open == nullptr) return;
  const Millis now = clock_(), left = open->call.arrived + open->call.allow - now;
  const Millis patience = step.patience.count() > 0 ? std::min(step.patience, left) : left;
  // Guards the rules whatever the module says.
  const bool fits = may_go(*open, step.host) && patience.count() >= 1;
  const Attempt attempt{step.call, open->attempts++};
  if (!fits) {
    counters_.add("guard.send_stopped");
    const bool other_out = !open->out.empty();
    if (!other_out) finish(step.call, Answer{});
    run(module_.report(now, AttemptOutcome{attempt, step.host, Outcome::moot, !other_out, 0, {}, {}}));
    return;
  }
  if (!open->front->before_attempt(step.call)) {
    counters_.add("attempts.withheld");
    const bool harmless = !open->may_have_run;
    finish(step.call, {harmless ? Verdict::refused : Verdict::failed, Millis(0), {}});
    run(module_.report(now, AttemptOutcome{attempt, step.host, Outcome::moot, true, 0, {}, {}}));
    return;
  }
  counters_.add(open->out.empty() ? "attempts.sent" : "attempts.second");
  if (open->keyed()) keys_.went_out(open->call, attempt, places_.at(step.host), now);
  open->out.push_back(Out{attempt, step.host, now});
  due_.push({now + patience, step.call, attempt.number});
  hosts_.exec(attempt, step.host, open->call, patience);
}

void Dispatcher::carry_out(const RefuseStep& step) {
  Open* open = find(step.call);
  if (open == nullptr) return;
  if (refused_ && open->attempts == 0) refused_(open->call);
  drop_all(step.call, *open);
  if ((open = find(step.call)) == nullptr) return;
  // A refusal says that trying again is harmless; what may have run is failed, with the same advice.
  const bool harmless = !open->may_have_run;
  finish(step.call, {harmless ? Verdict::refused : Verdict::failed, step.cooldown, {}});
}

void Dispatcher::carry_out(const FailStep& step) { finish(step.call, Answer{}); }

void Dispatcher::carry_out(const CancelStep& step) {
  Open* open = find(step.attempt.call);
  if (open == nullptr) return;
  const auto same = [&](const Out& o) { return o.attempt == step.attempt; };
  if (std::none_of(open->out.begin(), open->out.end(), same)) return;
  counters_.add("attempts.cancelled");
  const Outcome outcome = hosts_.drop(step.attempt) ? Outcome::cancelled : Outcome::moot;
  tell_end(*take_out(step.attempt.call, *open, step.attempt.number, outcome), outcome, false);
}

void Dispatcher::carry_out(const LoadStep& step) {
  counters_.add("orders.sent");
  hosts_.ensure(step.host, step.function, step.copies);
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
  forget_ref(open.call.ref);
}

}  // namespace lotusyard::core
