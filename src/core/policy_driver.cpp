#include "core/policy_driver.h"

#include <limits>

namespace lotusyard::core {
namespace {

namespace event = policy::event;
namespace action = policy::action;

policy::Event event_of(const AttemptOutcome& o) {
  event::AttemptEnded e;
  e.id = std::to_string(o.attempt.call);
  e.host = o.host;
  e.attempt = o.attempt.number;
  e.outcome = o.outcome;
  e.host_concurrency = o.host_concurrency;
  e.call_ended = o.call_ended;
  e.elapsed = o.elapsed;
  e.report = o.report;
  return e;
}
policy::Event event_of(const LoadOutcome& o) {
  return event::Loaded{o.host, o.function, o.outcome, o.elapsed, o.copies};
}
policy::Event event_of(const ProbeOutcome& o) {
  return event::Probed{o.host, o.outcome, o.elapsed, o.report};
}
policy::Event event_of(const ClientDisconnected& o) {
  return event::ClientDisconnected{std::to_string(o.call)};
}
policy::Event event_of(const NewSettings& o) { return event::SettingsChanged{o.settings}; }
policy::Event event_of(const HostList& o) { return event::EndpointListUpdate{o.kind, o.entries}; }

CallId call_of(const std::string& id) { return std::stoull(id); }  // ids are ours: see pick

}  // namespace

PolicyDriver::PolicyDriver(const Settings& settings, Millis now) { handle(now, event::Start{settings}); }

Steps PolicyDriver::pick(Millis now, CallId id, const Call& call) {
  event::Request e;
  e.id = std::to_string(id);
  e.class_name = call.class_name;
  e.tenant = call.tenant;
  e.cost_hint = call.cost_hint;
  e.retry = call.retry;
  e.function = call.function;
  e.memory_mb = call.memory_mb;
  e.lanes = call.lanes;
  e.expires_in = call.arrived + call.timeout - now;
  return handle(now, e);
}

Steps PolicyDriver::report(Millis now, const PolicyInput& what) {
  return handle(now, std::visit([](const auto& o) { return event_of(o); }, what));
}

Steps PolicyDriver::tick(Millis now) {
  Steps all;
  // A timer set while others ring is not rung again in this turn, or one of length zero would never end.
  const std::uint64_t known = timers_set_;
  while (!due_.empty() && due_.top().at <= now && due_.top().order < known) {
    const std::uint64_t token = due_.top().token;
    due_.pop();
    for (auto& step : handle(now, event::Timer{token}))
      all.push_back(std::move(step));
  }
  return all;
}

Millis PolicyDriver::next_tick() const {
  return due_.empty() ? Millis(std::numeric_limits<double>::infinity()) : due_.top().at;
}

Steps PolicyDriver::handle(Millis now, const policy::Event& event) {
  std::vector<policy::Action> actions;
  policy_.handle(now, event, actions);
  Steps steps;
  for (const auto& any : actions) {
    if (const auto* send = std::get_if<action::Send>(&any)) {
      steps.push_back(SendStep{call_of(send->id), send->host, send->time_out});
    } else if (const auto* refuse = std::get_if<action::Reject>(&any)) {
      steps.push_back(RejectStep{call_of(refuse->id), refuse->retry_after});
    } else if (const auto* fail = std::get_if<action::Fail>(&any)) {
      steps.push_back(FailStep{call_of(fail->id)});
    } else if (const auto* cancel = std::get_if<action::Cancel>(&any)) {
      steps.push_back(CancelStep{{call_of(cancel->id), cancel->attempt}});
    } else if (const auto* probe = std::get_if<action::Probe>(&any)) {
      steps.push_back(ProbeStep{probe->host});
    } else if (const auto* load = std::get_if<action::Load>(&any)) {
      steps.push_back(LoadStep{load->host, load->function, load->copies});
    } else if (const auto* unload = std::get_if<action::Unload>(&any)) {
      steps.push_back(UnloadStep{unload->host, unload->function});
    } else if (const auto* timer = std::get_if<action::SetTimer>(&any)) {
      due_.push({now + timer->after, timers_set_++, timer->token});
    }
  }
  return steps;
}

}  // namespace lotusyard::core
