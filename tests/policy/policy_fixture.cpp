#include "policy/policy_fixture.h"

#include <algorithm>
#include <utility>

namespace lotusyard::policy::test {
namespace {

ClassSettings class_settings(const char* name, Semantics semantics) {
  ClassSettings call_class;
  call_class.name = name;
  call_class.semantics = semantics;
  call_class.latency_objective = Millis(1000);
  call_class.deadline = Millis(4000);
  call_class.key_window = Millis(2000);
  return call_class;
}

}  // namespace

Settings make_settings() {
  Settings settings;
  settings.zone = "z1";
  settings.invokers = 1;
  settings.classes = {class_settings("safe", Semantics::idempotent),
                      class_settings("keyed", Semantics::idempotent_with_key),
                      class_settings("unsafe", Semantics::non_idempotent)};
  settings.kind_memory_mb["std"] = 10000;
  settings.tick = Millis(4);
  settings.response_grace = Millis(16);
  settings.endpoint_list.drain_grace = Millis(1000);
  settings.slow_start.duration = Millis(16000);
  settings.slow_start.window = Millis(1000);
  settings.slow_start.initial = 0.16;
  settings.slow_start.factor = 2.5;
  settings.host_protocol.instance_idle_timeout = Millis(9000);
  settings.load_orders.timeout = Millis(10000);
  settings.load_orders.allowed = true;
  settings.host_protocol.reports_warm_start = true;
  settings.retries.max_attempts = 3;
  settings.seed = 7;
  return settings;
}

Settings hundred_invoker_settings() {
  Settings settings = make_settings();
  settings.invokers = 100;
  settings.retries.max_attempts = 50;
  for (auto& call_class : settings.classes)
    call_class.latency_objective = Millis(800);
  return settings;
}

HostEntry host_entry(const std::string& id, HostState state, double started_ms) {
  HostEntry entry;
  entry.host = id;
  entry.kind = "std";
  entry.zone = "z1";
  entry.state = state;
  entry.started = Millis(started_ms);
  return entry;
}

std::vector<HostEntry> numbered_hosts(int count) {
  std::vector<HostEntry> hosts;
  for (int i = 0; i < count; ++i)
    hosts.push_back(host_entry(numbered("w", i)));
  return hosts;
}

void PolicyFixture::handle(const Event& event) {
  std::vector<Action> actions;
  policy.handle(now, event, actions);
  for (const auto& action : actions)
    record(action);
}

void PolicyFixture::record(const Action& action) {
  if (const auto* send = std::get_if<action::Send>(&action)) {
    record(*send);
  } else if (const auto* load = std::get_if<action::Load>(&action)) {
    record(*load);
  } else if (const auto* reject = std::get_if<action::Reject>(&action)) {
    rejected.push_back(reject->id);
    retry_after.push_back(reject->retry_after);
    record_final_answer(reject->id);
  } else if (const auto* fail = std::get_if<action::Fail>(&action)) {
    failed.push_back(fail->id);
    record_final_answer(fail->id);
  } else if (const auto* timer = std::get_if<action::SetTimer>(&action)) {
    timers_.emplace((now + timer->after).count(), timer->token);
  } else if (const auto* cancel = std::get_if<action::Cancel>(&action)) {
    cancels.push_back(*cancel);
  } else if (const auto* probe = std::get_if<action::Probe>(&action)) {
    probes.push_back(probe->host);
  }
}

void PolicyFixture::record(const action::Send& send) {
  sends.push_back(send);
  ++attempts[send.id];
  if (answered.count(send.id) > 0)
    has_violation = true;
}

void PolicyFixture::record(const action::Load& load) {
  if (load.copies > 0)
    loads.push_back(load);
  if (load.copies == 0)
    instance_queries.push_back(load.host);
}

void PolicyFixture::record_final_answer(const std::string& id) {
  const bool is_first = answered.insert(id).second;
  if (!is_first)
    has_violation = true;
}

void PolicyFixture::request(const std::string& id, std::uint64_t function, const std::string& call_class,
                            double expires_ms, int lanes) {
  event::Request request;
  request.id = id;
  request.class_name = call_class;
  request.function = function;
  request.memory_mb = memory_mb;
  request.lanes = lanes;
  request.load_hint = Millis(1000);
  request.expires_in = Millis(expires_ms);
  handle(request);
}

void PolicyFixture::answer(const action::Send& send, Outcome outcome, double elapsed_ms, Warmth warmth) {
  event::AttemptEnded answer;
  answer.id = send.id;
  answer.host = send.host;
  answer.attempt = attempts[send.id] - 1;
  answer.outcome = outcome;
  answer.warmth = warmth;
  answer.call_ended = outcome == Outcome::ok;
  if (answer.call_ended)
    answered.insert(send.id);
  answer.elapsed = Millis(elapsed_ms);
  handle(answer);
}

void PolicyFixture::advance(double duration_ms) {
  const double until = now.count() + duration_ms;
  while (!timers_.empty() && timers_.begin()->first <= until) {
    const auto [due, token] = *timers_.begin();
    timers_.erase(timers_.begin());
    now = std::max(now, Millis(due));
    handle(event::Timer{token});
  }
  now = Millis(until);
}

PolicyFixture make_warm_invoker(Settings settings, int copies) {
  PolicyFixture invoker(std::move(settings));
  invoker.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
  invoker.request("first");
  if (!invoker.loads.empty())
    invoker.finish_load(invoker.loads[0].host, 1, copies);
  if (!invoker.sends.empty())
    invoker.answer(invoker.sends.back(), Outcome::ok);
  return invoker;
}

}  // namespace lotusyard::policy::test
