// Costs of the policy's sweep, every 20 ms over all functions that one invoker has called, by functions and
// hosts. Virtual clock, no sockets. Run by name: lotusyard_scale_tests "[hollow-sweep]".
#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "core/policy_driver.h"
#include "scale/point.h"

namespace lotusyard::scale {
namespace {

using core::Millis;

constexpr int kSweepsPerSecond = 50;
const Millis kSweepInterval{1000.0 / kSweepsPerSecond};
constexpr int kInvokers = 16000;
constexpr double kFunctionsAtTarget = 38750;  // 620,000 functions, each at 1,000 of 16,000 invokers
const Millis kAnswerTime{20};

core::Settings sweep_settings(Millis idle_timeout) {
  core::Settings s;
  s.classes.resize(1);
  s.classes[0].name = "check";
  s.classes[0].semantics = lotusyard::policy::Semantics::idempotent;
  s.classes[0].latency_objective = s.classes[0].deadline = Millis(1500);
  s.tick = Millis(4);
  s.host_protocol.instance_idle_timeout = idle_timeout;
  s.load_orders.timeout = Millis(10000);
  s.host_protocol.answers_misses = s.load_orders.allowed = s.host_protocol.cancels = true;
  s.retries.max_attempts = 4;
  s.invokers = kInvokers;
  s.seed = kSeed;
  return s;
}

// The policy of one invoker, with hosts that answer every call at once.
class Invoker {
 public:
  Invoker(std::size_t hosts, Millis idle_timeout) : driver_(sweep_settings(idle_timeout), now_) {
    core::HostList list;
    for (std::size_t i = 0; i < hosts; ++i) {
      core::HostEntry entry;
      entry.host = "h" + std::to_string(i);
      entry.kind = "std";
      entry.zone = "z";
      list.entries.push_back(entry);
    }
    driver_.report(now_, list);
  }
  // Sends and answers one call of the function, and adds up its processor time.
  void call(std::uint64_t function) {
    core::Call call;
    call.class_name = "check";
    call.function = function;
    call.arrived = now_;
    call.timeout = Millis(1500);
    const double started = processor_seconds();
    auto steps = driver_.pick(now_, ++calls_, call);
    for (int attempts = 0; attempts < 8; ++attempts) {
      const auto* sent = first_send(steps);
      if (sent == nullptr)
        break;
      core::AttemptOutcome outcome;
      outcome.attempt = {sent->call, 0};
      outcome.host = sent->host;
      outcome.outcome = core::Outcome::ok;
      outcome.call_ended = true;
      outcome.elapsed = kAnswerTime;
      ++answered_;
      steps = driver_.report(now_, outcome);
    }
    call_seconds_ += processor_seconds() - started;
  }
  // Runs one sweep, with the deadlines due since the last; returns its processor time.
  double sweep() {
    now_ += kSweepInterval;
    const double started = processor_seconds();
    driver_.tick(now_);
    return processor_seconds() - started;
  }
  std::uint64_t answered() const { return answered_; }
  double call_seconds() const { return call_seconds_; }

 private:
  Millis now_{1000};
  core::PolicyDriver driver_;
  std::uint64_t calls_ = 0, answered_ = 0;
  double call_seconds_ = 0;

  static const core::SendStep* first_send(const core::Steps& steps) {
    for (const auto& step : steps) {
      if (const auto* send = std::get_if<core::SendStep>(&step))
        return send;
    }
    return nullptr;
  }
};

struct SweepCase {
  std::string test;
  std::size_t functions = 0, hosts = 0;
};

std::map<std::string, double> given_of(const SweepCase& c) {
  return {{"functions", static_cast<double>(c.functions)}, {"hosts", static_cast<double>(c.hosts)}};
}

// Core share of the sweeps in each of `seconds` virtual seconds.
std::vector<double> sweep_shares(Invoker& invoker, int seconds) {
  std::vector<double> out;
  for (int i = 0; i < seconds; ++i) {
    double used = 0;
    for (int k = 0; k < kSweepsPerSecond; ++k)
      used += invoker.sweep();
    out.push_back(used);
  }
  return out;
}

// Each function is called once and then stays known: its one instance has no idle time-out.
double measure_known(const SweepCase& c) {
  const double before = allocated_bytes();
  Invoker invoker(c.hosts, Millis(0));
  for (std::uint64_t f = 1; f <= c.functions; ++f)
    invoker.call(f);
  REQUIRE(invoker.answered() == c.functions);
  sweep_shares(invoker, 2);  // until the timers of the calls' deadlines have fired
  print({c.test, 1, "member", "call_us", 0, given_of(c)},
        {invoker.call_seconds() * 1e6 / static_cast<double>(c.functions)});
  print({c.test, 1, "member", "memory_mb", 0, given_of(c)}, {(allocated_bytes() - before) / kMegabyte});
  return print({c.test, 1, "member", "sweep_core_share", 1, given_of(c)}, sweep_shares(invoker, 5));
}

TEST_CASE("sweeps, by functions known", "[.][scale][hollow-sweep]") {
  Series series;
  for (const std::size_t functions : {100, 1000, 10000, 38750, 100000}) {
    series.add(static_cast<double>(functions), measure_known({"sweep_by_functions", functions, 120}));
  }
  print_fit({"sweep_by_functions", 1, "member", "sweep_core_share", 0, {{"hosts", 120}}}, "functions", series,
            kFunctionsAtTarget);
}

TEST_CASE("sweeps, by hosts", "[.][scale][hollow-sweep]") {
  constexpr double hosts_at_target = 10000;
  for (const std::size_t functions : {1000, 10000}) {
    Series series;
    for (const std::size_t hosts : {12, 120, 1000, 10000})
      series.add(static_cast<double>(hosts), measure_known({"sweep_by_hosts", functions, hosts}));
    print_fit({"sweep_by_hosts",
               1,
               "member",
               "sweep_core_share",
               0,
               {{"functions", static_cast<double>(functions)}}},
              "hosts", series, hosts_at_target);
  }
}

// The share of one invoker at the target size, with the memory of each function's order of hosts.
TEST_CASE("sweeps, at the size to come", "[.][scale][hollow-sweep]") {
  for (const std::size_t hosts : {12, 120, 1000, 10000})
    measure_known({"sweep_at_size", 38750, hosts});
}

// As configured: instances expire after 9 s, and functions are called at random, once in 90 s on average, so
// that only recently called functions are known.
TEST_CASE("sweeps while functions are called rarely", "[.][scale][hollow-sweep]") {
  constexpr double mean_pause_s = 90;
  Series series;
  for (const std::size_t functions : {1000, 10000, 38750, 100000}) {
    const SweepCase c{"sweep_seldom", functions, 120};
    const double before = allocated_bytes();
    Invoker invoker(c.hosts, Millis(9000));
    std::mt19937_64 random(kSeed);
    const double calls_each = static_cast<double>(functions) / mean_pause_s / kSweepsPerSecond;
    double due_calls = 0;
    std::vector<double> shares;
    for (int second = 0; second < 40; ++second) {
      double used = 0;
      for (int i = 0; i < kSweepsPerSecond; ++i) {
        for (due_calls += calls_each; due_calls >= 1; --due_calls)
          invoker.call(1 + random() % functions);
        used += invoker.sweep();
      }
      if (second >= 25)
        shares.push_back(used);  // after more than an idle time-out and a deadline
    }
    series.add(static_cast<double>(functions),
               print({c.test, 1, "member", "sweep_core_share", 1, given_of(c)}, shares));
    print({c.test, 1, "member", "call_us", 0, given_of(c)},
          {invoker.call_seconds() * 1e6 / static_cast<double>(invoker.answered())});
    print({c.test, 1, "member", "memory_mb", 0, given_of(c)}, {(allocated_bytes() - before) / kMegabyte});
  }
  print_fit({"sweep_seldom", 1, "member", "sweep_core_share", 0, {{"hosts", 120}}}, "functions", series,
            kFunctionsAtTarget);
}

TEST_CASE("the time of a sweep is proportional to the number of functions", "[scale-short]") {
  const double few = measure_known({"sweep_short", 250, 12});
  const double many = measure_known({"sweep_short", 2000, 12});
  CHECK(many > 3 * few);  // 8 times the functions; caches and noise are allowed for
  CHECK(many < 30 * few);
}

}  // namespace
}  // namespace lotusyard::scale
