// Calls through a broker that misbehaves to hosts that fail and drain, from a seed.
#include <string>
#include <vector>

#include "support/triggers.h"

namespace lotusyard::test {
namespace {

constexpr std::size_t kCallsBetweenDrains = 100;
constexpr std::size_t kCallsBetweenDrops = 30;
constexpr double kMillisPerCall = 10;  // of a run with a duration

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
        triggers_(3, seed, {}, settings_),
        random_(seed) {
    triggers_.broker.chaos = {12, 60, 300, 40};
    for (std::size_t i = 0; i < triggers_.world.host.size(); ++i)
      triggers_.world.host[i]->handler = [this, i](const std::string&) { return react(i); };
  }
  Tally run() {
    const Millis began = triggers_.world.loop.now();
    while (tally_.sent < calls_) {
      const Millis elapsed = triggers_.world.loop.now() - began;
      if (is_timed() && elapsed >= duration_)
        break;
      send_due(elapsed);
      triggers_.world.turn();
      drop_connections_at_times();
      if (tally_.sent >= next_drain_)
        drain_next_host();
    }
    tally_.settled = triggers_.settled();
    count_answers();
    count_repeated_runs();
    tally_.dropped = triggers_.broker.dropped;
    return tally_;
  }

 private:
  bool is_timed() const { return duration_.count() > 0; }
  Reaction react(std::size_t host) {
    const auto& listed = triggers_.world.states[host];
    const bool is_draining = listed.state != policy::HostState::ready;
    if (is_draining && triggers_.world.loop.now() - listed.at > settings_.endpoint_list.drain_grace)
      ++tally_.after_drain;
    const std::size_t dice = below(random_, 1000);
    if (dice < 10)
      return Reaction{Reaction::silence, ""};
    if (dice < 13)
      return Reaction{Reaction::half, "data"};
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
    for (int i = 0; i < 4 && tally_.sent < due && triggers_.broker.queue.size() < 8; ++i) {
      const bool is_record = below(random_, 3) == 0;
      const std::string id = "m" + std::to_string(tally_.sent++);
      triggers_.broker.send(id, is_record ? "bin-record" : "bin-check", "bin of " + id);
      if (is_record)
        records_.push_back("bin of " + id);
    }
  }
  // A short run must not depend on chance for its drops; a long one has them at any moment.
  void drop_connections_at_times() {
    const bool drops = is_timed() ? below(random_, 2000) == 0 : tally_.sent >= next_drop_;
    if (!drops)
      return;
    next_drop_ += kCallsBetweenDrops;
    triggers_.broker.drop_all();
  }
  // One host drains at a time, and has restarted when the next one drains.
  void drain_next_host() {
    next_drain_ += kCallsBetweenDrains;
    InvokerFixture& fixture = triggers_.world;
    const std::size_t restarted = tally_.drains++ % fixture.host.size();
    fixture.tell(policy::HostState::ready, fixture.loop.now().count(), restarted);
    fixture.tell(policy::HostState::draining, 0, tally_.drains % fixture.host.size());
  }
  void count_answers() {
    for (std::size_t i = 0; i < tally_.sent; ++i) {
      const auto& answers = triggers_.broker.held["c-m" + std::to_string(i)];
      if (answers.empty()) {
        ++tally_.lost;
        continue;
      }
      const auto& first = answers.front();
      for (const auto& answer : answers) {
        if (word_of(answer) != word_of(first) || answer.body != first.body)
          ++tally_.differing;
      }
      if (word_of(first) == "OK")
        ++tally_.served;
    }
  }
  void count_repeated_runs() {
    for (const auto& body : records_) {
      int runs = 0;
      for (const auto& host : triggers_.world.host)
        runs += host->runs.count(body) == 0 ? 0 : host->runs.at(body);
      if (runs > 1)
        ++tally_.repeated_runs;
    }
  }

  const std::size_t calls_;
  const Millis duration_;
  const core::Settings settings_;
  Triggers triggers_;
  Random random_;
  Tally tally_;
  std::vector<std::string> records_;  // bodies of the non-idempotent calls
  std::size_t next_drain_ = 40;
  std::size_t next_drop_ = kCallsBetweenDrops;
};

}  // namespace

Tally chaos_run(std::uint64_t seed, std::size_t calls, Millis duration) {
  return ChaosRun(seed, calls, duration).run();
}

}  // namespace lotusyard::test
