// A seeded run of calls through a broker that injects faults to hosts that fail and drain.
#include <string>
#include <vector>

#include "support/amqp_fixture.h"

namespace lotusyard::test {
namespace {

constexpr std::size_t kCallsBetweenDrains = 100;
constexpr std::size_t kCallsBetweenDrops = 30;
constexpr double kMillisPerCall = 10;  // in a run with a duration

core::Settings chaos_settings() {
  core::Settings chaos = settings();
  for (auto& call_class : chaos.classes) {
    call_class.latency_objective = Millis(400);
    call_class.deadline = Millis(400);
  }
  return chaos;
}

class ChaosRun {
 public:
  ChaosRun(std::uint64_t seed, std::size_t calls, Millis duration)
      : calls_(calls),
        duration_(duration),
        settings_(chaos_settings()),
        fixture_(3, seed, {}, settings_),
        random_(seed) {
    fixture_.broker.chaos = {12, 60, 300, 40};
    for (std::size_t i = 0; i < fixture_.invoker.host.size(); ++i)
      fixture_.invoker.host[i]->handler = [this, i](const std::string&) { return react(i); };
  }
  ChaosResult run() {
    const Millis began = fixture_.invoker.loop.now();
    while (result_.sent < calls_) {
      const Millis elapsed = fixture_.invoker.loop.now() - began;
      if (is_timed() && elapsed >= duration_)
        break;
      send_due(elapsed);
      fixture_.invoker.run_once();
      drop_connections_if_due();
      if (result_.sent >= next_drain_)
        drain_next_host();
    }
    result_.settled = fixture_.wait_until_settled();
    count_answers();
    count_repeated_runs();
    result_.dropped = fixture_.broker.dropped;
    return result_;
  }

 private:
  bool is_timed() const { return duration_.count() > 0; }
  Reaction react(std::size_t host) {
    const auto& listed = fixture_.invoker.states[host];
    const bool is_draining = listed.state != policy::HostState::ready;
    if (is_draining && fixture_.invoker.loop.now() - listed.at > settings_.endpoint_list.drain_grace)
      ++result_.after_drain;
    const std::size_t dice = below(random_, 1000);
    if (dice < 10)
      return Reaction{Reaction::silence, ""};
    if (dice < 13)
      return Reaction{Reaction::partial_reply, "data"};
    if (dice < 16)
      return Reaction{Reaction::hang_up, ""};
    if (dice < 40)
      return Reaction{Reaction::reply, "absent"};
    if (dice < 60)
      return Reaction{Reaction::reply, "full"};
    return Reaction{Reaction::reply, dice < 80 ? "failed" : "data"};
  }
  void send_due(Millis elapsed) {
    const auto due = is_timed() ? static_cast<std::size_t>(elapsed.count() / kMillisPerCall) : calls_;
    for (int i = 0; i < 4 && result_.sent < due && fixture_.broker.queue.size() < 8; ++i) {
      const bool is_record = below(random_, 3) == 0;
      const std::string id = "m" + std::to_string(result_.sent++);
      fixture_.broker.send(id, is_record ? "bin-record" : "bin-check", "bin of " + id);
      if (is_record)
        records_.push_back("bin of " + id);
    }
  }
  // A short run drops connections at fixed intervals, so that it always has some; a long one at random times.
  void drop_connections_if_due() {
    const bool drops = is_timed() ? below(random_, 2000) == 0 : result_.sent >= next_drop_;
    if (!drops)
      return;
    next_drop_ += kCallsBetweenDrops;
    fixture_.broker.drop_all();
  }
  // One host drains at a time; it restarts when the next one begins to drain.
  void drain_next_host() {
    next_drain_ += kCallsBetweenDrains;
    InvokerFixture& invoker = fixture_.invoker;
    const std::size_t restarted = result_.drains++ % invoker.host.size();
    invoker.update_hosts(policy::HostState::ready, invoker.loop.now().count(), restarted);
    invoker.update_hosts(policy::HostState::draining, 0, result_.drains % invoker.host.size());
  }
  void count_answers() {
    for (std::size_t i = 0; i < result_.sent; ++i) {
      const auto& answers = fixture_.broker.answers_by_id["c-m" + std::to_string(i)];
      if (answers.empty()) {
        ++result_.lost;
        continue;
      }
      const auto& first = answers.front();
      for (const auto& answer : answers) {
        if (result_word(answer) != result_word(first) || answer.body != first.body)
          ++result_.differing;
      }
      if (result_word(first) == "OK")
        ++result_.served;
    }
  }
  void count_repeated_runs() {
    for (const auto& body : records_) {
      int runs = 0;
      for (const auto& host : fixture_.invoker.host)
        runs += host->runs.count(body) == 0 ? 0 : host->runs.at(body);
      if (runs > 1)
        ++result_.repeated_runs;
    }
  }

  const std::size_t calls_;
  const Millis duration_;
  const core::Settings settings_;
  AmqpFixture fixture_;
  Random random_;
  ChaosResult result_;
  std::vector<std::string> records_;  // bodies of the non-idempotent calls
  std::size_t next_drain_ = 40;
  std::size_t next_drop_ = kCallsBetweenDrops;
};

}  // namespace

ChaosResult chaos_run(std::uint64_t seed, std::size_t calls, Millis duration) {
  return ChaosRun(seed, calls, duration).run();
}

}  // namespace lotusyard::test
