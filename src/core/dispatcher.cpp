#include "core/dispatcher.h"

#include <algorithm>
#include <utility>

namespace lotusyard::core {
namespace {

// What the module leaves open is ended this long after its deadline, inside the grace that the rules give.
constexpr Millis kOverdue{2};
constexpr Millis kRefKept{10000};  // a late answer of a host may still come under a ref for so long
constexpr std::size_t kRefsKept = 8192;
constexpr int kMostLanes = 1024;
constexpr double kMostMemoryMb = 1e6;

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
  const auto& classes = settings_->classes;
  const auto cls = std::find_if(classes.begin(), classes.end(), named(call.class_name));
  if (cls == classes.end()) return "calls.unknown_class";
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
  ended_refs_.emplace_back(now, ref);
  while (now - ended_refs_.front().first > kRefKept || ended_refs_.size() > kRefsKept) {
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
  if (!refs_.insert(call.ref).second) {
    counters_.add("calls.ref_repeated");
    return false;
  }
  counters_.add("calls.taken");
  Open& open = calls_[id];
  open.call = std::move(call);
  open.front = &front;
  open.rules = settings_;
  for (const auto& c : open.rules->classes) {
    if (c.name == open.call.class_name) open.once = c.semantics == robinfold::Semantics::once;
  }
  due_.push({open.call.arrived + open.call.allow + kOverdue, id, -1});
  run(module_.pick(clock_(), id, open.call));
  return true;
}

void Dispatcher::leave(CallId id) {
  Open* open = find(id);
  if (open == nullptr) return;
  counters_.add("calls.left");
  // The module hears of it before the attempt ends: it must not try again what nobody waits for.
  run(module_.report(clock_(), CallLeft{id}));
  if ((open = find(id)) != nullptr && open->out) {
    hosts_.drop(open->out->attempt);
    give_back(id, *open, Outcome::cancelled, true);
  }
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  forget_ref(found->second.call.ref);
  calls_.erase(found);
}

// Tells the module of the end of the attempt that is out, if one is.
void Dispatcher::give_back(CallId id, Open& open, Outcome outcome, bool over) {
  if (!open.out) return;
  const Out out = std::move(*open.out);
  open.out.reset();
  if (!robinfold::proves_never_ran(outcome)) open.may_have_run = true;
  if (!over && !open.may_have_run) open.front->never_ran(id);
  const Millis now = clock_();
  AttemptOutcome told{{id, out.attempt.number}, out.host, outcome, over, 0, now - out.sent, std::nullopt};
  run(module_.report(now, told));
}

void Dispatcher::attempt_ended(const Attempt& attempt, AttemptEnd&& end) {
  Open* open = find(attempt.call);
  if (open == nullptr || !open->out || !(open->out->attempt == attempt)) return;
  const Out out = std::move(*open->out);
  open->out.reset();
  if (!robinfold::proves_never_ran(end.outcome)) open->may_have_run = true;
  if (!open->may_have_run) open->front->never_ran(attempt.call);
  const Millis now = clock_();
  const bool served = end.outcome == Outcome::ok;
  AttemptOutcome told{attempt,   out.host,       end.outcome,          served,
                      end.crowd, now - out.sent, std::move(end.report)};
  // The answer goes first: the module's turn may be long.
  if (served) finish(attempt.call, {Verdict::served, Millis(0), std::move(end.body)});
  run(module_.report(now, told));
}

void Dispatcher::load_ended(LoadOutcome&& end) { run(module_.report(clock_(), end)); }
void Dispatcher::probe_ended(ProbeOutcome&& end) { run(module_.report(clock_(), end)); }
void Dispatcher::members(HostList&& list) { run(module_.report(clock_(), list)); }

void Dispatcher::give_up_held(const std::function<bool(CallId)>& which) {
  std::vector<CallId> held;
  for (const auto& [id, open] : calls_) {
    if (!open.out && !open.may_have_run && which(id)) held.push_back(id);
  }
  std::sort(held.begin(), held.end());  // the order of a hash table tells nothing
  for (const CallId id : held) {
    const Open* open = find(id);
    if (open == nullptr || open->out) continue;
    run(module_.report(clock_(), CallLeft{id}));
    finish(id, {Verdict::refused, Millis(0), {}});
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
      if (!open->out || open->out->attempt.number != due.attempt) continue;
      counters_.add("attempts.timed_out");
      const bool ran = hosts_.drop(open->out->attempt);
      give_back(due.call, *open, ran ? Outcome::timeout : Outcome::connect_failed, false);
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

void Dispatcher::carry_out(const SendStep& step) {
  Open* open = find(step.call);
  if (open == nullptr) return;
  // Guards the rules whatever the module says: one attempt out, a few in all, nothing twice that may have
  // run.
  const Attempt attempt{step.call, open->attempts++};
  const Millis now = clock_(), left = open->call.arrived + open->call.allow - now;
  const Millis patience = step.patience.count() > 0 ? std::min(step.patience, left) : left;
  const bool again = open->once && open->may_have_run;
  if (open->out || again || attempt.number >= open->rules->max_attempts || patience.count() < 1) {
    counters_.add("guard.send_stopped");
    const bool other_out = open->out.has_value();
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
  counters_.add("attempts.sent");
  open->out = Out{attempt, step.host, now};
  due_.push({now + patience, step.call, attempt.number});
  hosts_.exec(attempt, step.host, open->call, patience);
}

void Dispatcher::carry_out(const RefuseStep& step) {
  Open* open = find(step.call);
  if (open == nullptr) return;
  if (open->out && hosts_.drop(open->out->attempt)) open->may_have_run = true;
  // A refusal says that trying again is harmless; what may have run is failed, with the same advice.
  const bool harmless = !open->may_have_run;
  finish(step.call, {harmless ? Verdict::refused : Verdict::failed, step.cooldown, {}});
}

void Dispatcher::carry_out(const FailStep& step) { finish(step.call, Answer{}); }

void Dispatcher::carry_out(const CancelStep& step) {
  Open* open = find(step.attempt.call);
  if (open == nullptr || !open->out || !(open->out->attempt == step.attempt)) return;
  counters_.add("attempts.cancelled");
  const bool ran = hosts_.drop(step.attempt);
  give_back(step.attempt.call, *open, ran ? Outcome::cancelled : Outcome::moot, false);
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
  forget_ref(open.call.ref);
  static const char* const names[] = {"calls.served", "calls.refused", "calls.failed"};
  counters_.add(names[static_cast<std::size_t>(answer.verdict)]);
  if (open.out) hosts_.drop(open.out->attempt);
  open.front->answer(id, std::move(answer));
  give_back(id, open, Outcome::cancelled, true);
}

}  // namespace lotusyard::core
