// The calls that 19 to 30 invokers without shared state send in total to a host that has just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "policy/policy_fixture.h"
#include "policy/simulated_hosts.h"

namespace lotusyard::policy::test {
namespace {

// Times in milliseconds.
constexpr double kCores = 2;
constexpr double kHostStart = 4000;
constexpr double kSimulationEnd = 16000;
constexpr double kTimeStep = 4;
constexpr double kRampDuration = 10000;
constexpr int kHostCount = 6;

struct FleetSettings {
  int invokers;
  double factor;  // of SlowStartSettings
  double window;  // of SlowStartSettings
  double load;    // calls that arrive, in relation to what the five warm hosts can serve
  bool is_warm;   // the host that starts still has its instances
  std::uint64_t seed;
};

// Six hosts, of which h0 starts at kHostStart.
class InvokerFleet {
 public:
  explicit InvokerFleet(const FleetSettings& settings);

  void run();
  std::size_t calls_to_started_host() const { return calls_at_.size(); }
  // Calls of the worst window beyond its budget, in units of the square root of the budget.
  double worst_excess() const;

 private:
  Settings invoker_settings() const;
  void make_hosts();
  void make_invokers();
  void step(double now);
  void start_host(PolicyFixture& invoker);
  void request_calls(std::size_t invoker, double now);
  void start_calls_and_loads(std::size_t invoker, double now);
  double next_interval() { return -std::log(1 - uniform(random_)) / calls_per_ms_; }

  FleetSettings settings_;
  double calls_per_ms_;  // of one invoker
  std::mt19937_64 random_;
  SimulatedHosts hosts_{random_};
  std::vector<PolicyFixture> invokers_;
  std::vector<double> next_call_at_;  // by invoker
  std::vector<double> calls_at_;      // to the host that started
  int last_call_id_ = 0;
};

InvokerFleet::InvokerFleet(const FleetSettings& settings)
    : settings_(settings),
      calls_per_ms_(settings.load * 5 * kCores / kMeanWork / settings.invokers),
      random_(settings.seed) {
  make_invokers();
  make_hosts();
  for (std::size_t i = 0; i < invokers_.size(); ++i)
    next_call_at_.push_back(next_interval());
}

Settings InvokerFleet::invoker_settings() const {
  Settings settings = make_settings();
  settings.invokers = settings_.invokers;
  settings.host_protocol.answers_misses = true;
  settings.slow_start.factor = settings_.factor;
  settings.slow_start.window = Millis(settings_.window);
  settings.slow_start.initial = 0.25;
  settings.slow_start.duration = Millis(kRampDuration);
  settings.load_orders.floor = 6;
  settings.load_orders.ratio = 0.2;
  settings.load_orders.window = Millis(10000);
  return settings;
}

void InvokerFleet::make_invokers() {
  Settings settings = invoker_settings();
  for (int rank = 0; rank < settings_.invokers; ++rank) {
    settings.rank = rank;
    settings.seed = random_();
    invokers_.emplace_back(settings);
    invokers_.back().now = Millis(0);
    std::vector<HostEntry> list;
    for (int i = 0; i < kHostCount; ++i) {
      list.push_back(host_entry(numbered("h", i)));
      list.back().weight = kCores;
    }
    invokers_.back().update_endpoints(list);
  }
}

void InvokerFleet::make_hosts() {
  for (int i = 0; i < kHostCount; ++i) {
    hosts_.set_cores(numbered("h", i), kCores);
    for (std::uint64_t function = 1; function <= 30; ++function) {
      if (i > 0 || settings_.is_warm)
        hosts_.add_instance(numbered("h", i), function);
    }
  }
}

void InvokerFleet::run() {
  for (double now = 0; now < kSimulationEnd; now += kTimeStep)
    step(now);
}

void InvokerFleet::step(double now) {
  for (std::size_t i = 0; i < invokers_.size(); ++i) {
    invokers_[i].advance(now - invokers_[i].now.count());
    if (now >= kHostStart && now < kHostStart + kTimeStep)
      start_host(invokers_[i]);
    request_calls(i, now);
  }
  hosts_.finish_due(now, invokers_);
  for (std::size_t i = 0; i < invokers_.size(); ++i)
    start_calls_and_loads(i, now);
}

void InvokerFleet::start_host(PolicyFixture& invoker) {
  HostEntry started = host_entry("h0", HostState::ready, kHostStart);
  started.weight = kCores;
  invoker.update_endpoints({started}, ListKind::delta);
}

void InvokerFleet::request_calls(std::size_t invoker, double now) {
  for (; next_call_at_[invoker] <= now; next_call_at_[invoker] += next_interval()) {
    // Low numbers are more frequent than high ones.
    const double skewed = 30 * uniform(random_) * uniform(random_);
    const std::uint64_t function = 1 + static_cast<std::uint64_t>(skewed);
    const std::string id = std::to_string(++last_call_id_);
    hosts_.add_call(id, function);
    invokers_[invoker].request(id, function, function % 3 == 0 ? "unsafe" : "safe", 2000, 4);
  }
}

void InvokerFleet::start_calls_and_loads(std::size_t invoker, double now) {
  for (const auto& send : std::exchange(invokers_[invoker].sends, {})) {
    if (send.host == "h0" && now >= kHostStart)
      calls_at_.push_back(now);
    hosts_.start_call(invoker, send, now);
  }
  for (const auto& order : std::exchange(invokers_[invoker].loads, {}))
    hosts_.start_load(invoker, order, now);
}

double InvokerFleet::worst_excess() const {
  double worst = -1e9;
  std::size_t first = 0;
  for (std::size_t last = 0; last < calls_at_.size(); ++last) {
    const double window_began = calls_at_[last] - settings_.window;
    while (calls_at_[first] <= window_began)
      ++first;
    // The budget grows; a window uses its value at the start of the window.
    const double age = std::max(0.0, window_began - kHostStart) / kRampDuration;
    const double share = 0.25 + 0.75 * std::min(1.0, age);
    const double budget = settings_.factor * share * kCores * settings_.window / kMeanWork;
    const double calls = static_cast<double>(last - first + 1);
    worst = std::max(worst, (calls - budget - 2) / std::sqrt(budget));
  }
  return worst;
}

// All invokers together may exceed a budget of N calls by chance, but by 2 x sqrt(N) + 2 calls at most.
TEST(SlowStartFleet, CallsOfAllInvokersStayWithinChanceOfTheBudget) {
  const FleetSettings cases[] = {{19, 2.5, 500, 1.6, false, 1},
                                 {20, 2.0, 3000, 1.6, true, 2},
                                 {20, 3.0, 1000, 1.6, true, 3},
                                 {30, 2.0, 3000, 1.6, true, 4},
                                 {30, 2.5, 500, 1.6, true, 5}};
  for (const FleetSettings& settings : cases) {
    InvokerFleet fleet(settings);
    fleet.run();
    EXPECT_GT(fleet.calls_to_started_host(), 25U);  // the host is in demand
    EXPECT_LE(fleet.worst_excess(), 2) << settings.invokers << " invokers, seed " << settings.seed;
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
