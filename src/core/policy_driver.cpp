#include "core/policy_driver.h"

#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace lotusyard::core {
namespace {

namespace event = policy::event;
namespace action = policy::action;

// The policy identifies calls by strings. All of them come from request_id(), so call_id() can parse them.
std::string request_id(CallId id) { return std::to_string(id); }
CallId call_id(const std::string& request_id) { return std::stoull(request_id); }

event::Request request_event(Millis now, CallId id, const Call& call) {
  event::Request request;
  request.id = request_id(id);
  request.class_name = call.class_name;
  request.tenant = call.tenant;
  request.cost_hint = call.cost_hint;
  request.retry = call.retry;
  request.function = call.function;
  request.memory_mb = call.memory_mb;
  request.lanes = call.lanes;
  request.expires_in = call.arrived + call.timeout - now;
  return request;
}

policy::Event event_for(const AttemptOutcome& outcome) {
  event::AttemptEnded ended;
  ended.id = request_id(outcome.attempt.call);
  ended.host = outcome.host;
  ended.attempt = outcome.attempt.number;
  ended.outcome = outcome.outcome;
  ended.host_concurrency = outcome.host_concurrency;
  ended.call_ended = outcome.call_ended;
  ended.elapsed = outcome.elapsed;
  ended.report = outcome.report;
  return ended;
}

policy::Event event_for(const LoadOutcome& outcome) {
  return event::Loaded{outcome.host, outcome.function, outcome.outcome, outcome.elapsed, outcome.copies};
}

policy::Event event_for(const ProbeOutcome& outcome) {
  return event::Probed{outcome.host, outcome.outcome, outcome.elapsed, outcome.report};
}

policy::Event event_for(const ClientDisconnected& disconnected) {
  return event::ClientDisconnected{request_id(disconnected.call)};
}

policy::Event event_for(const HostList& list) { return event::EndpointListUpdate{list.kind, list.entries}; }

policy::Event event_for(const NewSettings& change) { return event::SettingsChanged{change.settings}; }

Step step_for(const action::Send& send) { return SendStep{call_id(send.id), send.host, send.time_out}; }
Step step_for(const action::Reject& reject) { return RejectStep{call_id(reject.id), reject.retry_after}; }
Step step_for(const action::Fail& fail) { return FailStep{call_id(fail.id)}; }
Step step_for(const action::Cancel& cancel) { return CancelStep{{call_id(cancel.id), cancel.attempt}}; }
Step step_for(const action::Probe& probe) { return ProbeStep{probe.host}; }
Step step_for(const action::Load& load) { return LoadStep{load.host, load.function, load.copies}; }
Step step_for(const action::Unload& unload) { return UnloadStep{unload.host, unload.function}; }
// The core ignores these actions: the endpoint list is pushed to it, and it passes on no messages or logs.
std::optional<Step> step_for(const action::SendToPeers&) { return std::nullopt; }
std::optional<Step> step_for(const action::Watch&) { return std::nullopt; }
std::optional<Step> step_for(const action::Log&) { return std::nullopt; }
// PolicyDriver sets the timer itself.
std::optional<Step> step_for(const action::SetTimer&) { return std::nullopt; }

std::optional<Step> step_for(const policy::Action& action) {
  return std::visit([](const auto& one) -> std::optional<Step> { return step_for(one); }, action);
}

}  // namespace

PolicyDriver::PolicyDriver(const Settings& settings, Millis now) { handle(now, event::Start{settings}); }

Steps PolicyDriver::pick(Millis now, CallId id, const Call& call) {
  return handle(now, request_event(now, id, call));
}

Steps PolicyDriver::report(Millis now, const PolicyInput& input) {
  return handle(now, std::visit([](const auto& one) { return event_for(one); }, input));
}

Steps PolicyDriver::tick(Millis now) {
  Steps all;
  // A timer that is set while others fire waits for the next tick; otherwise a timer of zero length would
  // make this loop endless.
  const std::uint64_t set_before = timers_set_;
  while (!timers_.empty() && timers_.top().due <= now && timers_.top().sequence < set_before) {
    const std::uint64_t token = timers_.top().token;
    timers_.pop();
    for (auto& step : handle(now, event::Timer{token}))
      all.push_back(std::move(step));
  }
  return all;
}

Millis PolicyDriver::next_tick() const {
  return timers_.empty() ? Millis(std::numeric_limits<double>::infinity()) : timers_.top().due;
}

Steps PolicyDriver::handle(Millis now, const policy::Event& event) {
  std::vector<policy::Action> actions;
  policy_.handle(now, event, actions);
  Steps steps;
  for (const auto& action : actions) {
    if (const auto* timer = std::get_if<action::SetTimer>(&action))
      set_timer(now, *timer);
    if (auto step = step_for(action))
      steps.push_back(std::move(*step));
  }
  return steps;
}

void PolicyDriver::set_timer(Millis now, const action::SetTimer& timer) {
  timers_.push({now + timer.after, timers_set_++, timer.token});
}

}  // namespace lotusyard::core
