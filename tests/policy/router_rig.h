// What the tests share: a scripted router that checks the rules on every action.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lotusyard/policy/policy.h"

namespace lotusyard::policy::test {

inline Settings settings() {
  Settings s;
  s.zone = "z1";
  s.routers = 1;
  const auto add = [&](const char* name, Semantics semantics) {
    ClassSettings c;
    c.name = name;
    c.semantics = semantics;
    c.latency_objective = Millis(1000);
    c.deadline = Millis(4000);
    c.key_window = Millis(2000);
    s.classes.push_back(c);
  };
  add("safe", Semantics::idempotent);
  add("keyed", Semantics::idempotent_with_key);
  add("unsafe", Semantics::non_idempotent);
  s.kind_memory_mb["std"] = 10000;
  s.tick = Millis(4);
  s.response_grace = Millis(16);
  s.endpoint_list.drain_grace = Millis(1000);
  s.slow_start.duration = Millis(16000);
  s.slow_start.window = Millis(1000);
  s.slow_start.initial = 0.16;
  s.slow_start.factor = 2.5;
  s.host_protocol.instance_idle_timeout = Millis(9000);
  s.load_orders.timeout = Millis(10000);
  s.load_orders.allowed = true;
  s.host_protocol.reports_warm_start = true;
  s.retries.max_attempts = 3;
  s.seed = 7;
  return s;
}

inline HostEntry entry(const std::string& id, HostState state = HostState::ready, double started = 0) {
  HostEntry e;
  e.host = id;
  e.kind = "std";
  e.zone = "z1";
  e.state = state;
  e.started = Millis(started);
  return e;
}

// Plays events into one Policy and keeps what came out, by kind.
class Router {
 public:
  explicit Router(Settings s = settings()) { give(event::Start{std::move(s)}); }

  void give(const Event& e) {
    std::vector<Action> out;
    policy.handle(now, e, out);
    for (auto& a : out) {
      if (const auto* send = std::get_if<action::Send>(&a)) {
        sends.push_back(*send);
        legs[send->id]++;
        broken = broken || answered.count(send->id) > 0;
      } else if (const auto* load = std::get_if<action::Load>(&a)) {
        if (load->copies > 0)
          loads.push_back(*load);
        if (load->copies == 0)
          asked.push_back(load->host);
      } else if (const auto* refuse = std::get_if<action::Reject>(&a)) {
        refused.push_back(refuse->id);
        advice.push_back(refuse->retry_after);
        broken = !answered.insert(refuse->id).second || broken;
      } else if (const auto* fail = std::get_if<action::Fail>(&a)) {
        failed.push_back(fail->id);
        broken = !answered.insert(fail->id).second || broken;
      } else if (const auto* timer = std::get_if<action::SetTimer>(&a)) {
        timers.emplace((now + timer->after).count(), timer->token);
      } else if (const auto* cancel = std::get_if<action::Cancel>(&a)) {
        cancels.push_back(*cancel);
      } else if (const auto* probe = std::get_if<action::Probe>(&a)) {
        probes.push_back(probe->host);
      }
    }
  }
  void list(std::vector<HostEntry> entries, ListKind kind = ListKind::full) {
    give(event::EndpointListUpdate{kind, std::move(entries)});
  }
  void request(const std::string& id, std::uint64_t function = 1, const std::string& call_class = "safe",
               double expires = 4000, int lanes = 2) {
    event::Request r;
    r.id = id;
    r.class_name = call_class;
    r.function = function;
    r.memory_mb = memory_mb;
    r.lanes = lanes;
    r.load_hint = Millis(1000);
    r.expires_in = Millis(expires);
    give(r);
  }
  void answer(const action::Send& send, Outcome outcome, double elapsed = 100, Warmth warmth = Warmth::warm) {
    event::AttemptEnded a;
    a.id = send.id;
    a.host = send.host;
    a.attempt = legs[send.id] - 1;
    a.outcome = outcome;
    a.warmth = warmth;
    a.call_ended = outcome == Outcome::ok;
    if (a.call_ended)
      answered.insert(send.id);
    a.elapsed = Millis(elapsed);
    give(a);
  }
  void loaded(const std::string& host, std::uint64_t function, int copies, Outcome outcome = Outcome::ok) {
    give(event::Loaded{host, function, outcome, Millis(500), copies});
  }
  // Lets time pass, ringing each timer when it is due.
  void pass(double ms) {
    const double until = now.count() + ms;
    while (!timers.empty() && timers.begin()->first <= until) {
      const auto [at, token] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, Millis(at));
      give(event::Timer{token});
    }
    now = Millis(until);
  }

  Policy policy;
  Millis now{1000};
  double memory_mb = 500;
  bool broken = false;
  std::vector<action::Send> sends;
  std::vector<action::Load> loads;
  std::vector<action::Cancel> cancels;
  std::vector<std::string> refused, failed, probes, asked;  // asked: by an order for no copy
  std::vector<Millis> advice;                               // beside each refusal
  std::set<std::string> answered;
  std::map<std::string, int> legs;
  std::multimap<double, std::uint64_t> timers;
};

}  // namespace lotusyard::policy::test
