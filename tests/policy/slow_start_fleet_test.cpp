// What twenty or thirty routers that share nothing send a host together that has just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "policy/router_fixture.h"
#include "policy/simulated_hosts.h"

namespace lotusyard::policy::test {
namespace {

// Times in milliseconds.
constexpr double kCores = 2;
constexpr double kHostStart = 4000;
constexpr double kDayEnd = 16000;
constexpr double kTimeStep = 4;
constexpr double kRampDuration = 10000;
constexpr int kHostCount = 6;

struct FleetSettings {
  int invokers;
  double factor;  // of SlowStartSettings
  double window;  // of SlowStartSettings
  double load;    // calls that arrive, in relation to what the five warm hosts can serve
  bool is_warm;   // the host that starts holds its instances still
  std::uint64_t seed;
};

// Six hosts, of which h0 starts at kHostStart.
class RouterFleet {
 public:
  explicit RouterFleet(const FleetSettings& settings);

  void run();
  std::size_t calls_to_started_host() const { return calls_at_.size(); }
  // Calls of the worst window beyond what the host may get, in units of the root of that.
  double worst_excess() const;

 private:
  Settings router_settings() const;
  void make_hosts();
  void make_routers();
  void step(double now);
  void start_host(RouterFixture& router);
  void request_calls(std::size_t router, double now);
  void start_calls_and_loads(std::size_t router, double now);
  double next_interval() { return -std::log(1 - uniform(random_)) / calls_per_ms_; }

  FleetSettings settings_;
  double calls_per_ms_;  // of one router
  std::mt19937_64 random_;
  SimulatedHosts hosts_{random_};
  std::vector<RouterFixture> routers_;
  std::vector<double> next_call_at_;  // by router
  std::vector<double> calls_at_;      // to the host that started
  int last_call_id_ = 0;
};

RouterFleet::RouterFleet(const FleetSettings& settings)
    : settings_(settings),
      calls_per_ms_(settings.load * 5 * kCores / kMeanWork / settings.invokers),
      random_(settings.seed) {
  make_routers();
  make_hosts();
  for (std::size_t i = 0; i < routers_.size(); ++i)
    next_call_at_.push_back(next_interval());
}

Settings RouterFleet::router_settings() const {
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

void RouterFleet::make_routers() {
  Settings settings = router_settings();
  for (int rank = 0; rank < settings_.invokers; ++rank) {
    settings.rank = rank;
    settings.seed = random_();
    routers_.emplace_back(settings);
    routers_.back().now = Millis(0);
    std::vector<HostEntry> list;
    for (int i = 0; i < kHostCount; ++i) {
      list.push_back(host_entry(numbered("h", i)));
      list.back().weight = kCores;
    }
    routers_.back().update_endpoints(list);
  }
}

void RouterFleet::make_hosts() {
  for (int i = 0; i < kHostCount; ++i) {
    hosts_.set_cores(numbered("h", i), kCores);
    for (std::uint64_t function = 1; function <= 30; ++function) {
      if (i > 0 || settings_.is_warm)
        hosts_.add_instance(numbered("h", i), function);
    }
  }
}

void RouterFleet::run() {
  for (double now = 0; now < kDayEnd; now += kTimeStep)
    step(now);
}

void RouterFleet::step(double now) {
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    routers_[i].advance(now - routers_[i].now.count());
    if (now >= kHostStart && now < kHostStart + kTimeStep)
      start_host(routers_[i]);
    request_calls(i, now);
  }
  hosts_.finish_due(now, routers_);
  for (std::size_t i = 0; i < routers_.size(); ++i)
    start_calls_and_loads(i, now);
}

void RouterFleet::start_host(RouterFixture& router) {
  HostEntry started = host_entry("h0", HostState::ready, kHostStart);
  started.weight = kCores;
  router.update_endpoints({started}, ListKind::delta);
}

void RouterFleet::request_calls(std::size_t router, double now) {
  for (; next_call_at_[router] <= now; next_call_at_[router] += next_interval()) {
    // Low numbers are more frequent than high ones.
    const double skewed = 30 * uniform(random_) * uniform(random_);
    const std::uint64_t function = 1 + static_cast<std::uint64_t>(skewed);
    const std::string id = std::to_string(++last_call_id_);
    hosts_.add_call(id, function);
    routers_[router].request(id, function, function % 3 == 0 ? "unsafe" : "safe", 2000, 4);
  }
}

void RouterFleet::start_calls_and_loads(std::size_t router, double now) {
  for (const auto& send : std::exchange(routers_[router].sends, {})) {
    if (send.host == "h0" && now >= kHostStart)
      calls_at_.push_back(now);
    hosts_.start_call(router, send, now);
  }
  for (const auto& order : std::exchange(routers_[router].loads, {}))
    hosts_.start_load(router, order, now);
}

double RouterFleet::worst_excess() const {
  double worst = -1e9;
  std::size_t first = 0;
  for (std::size_t last = 0; last < calls_at_.size(); ++last) {
    const double window_began = calls_at_[last] - settings_.window;
    while (calls_at_[first] <= window_began)
      ++first;
    // The budget grows; the window may use what it was when the window began.
    const double age = std::max(0.0, window_began - kHostStart) / kRampDuration;
    const double share = 0.25 + 0.75 * std::min(1.0, age);
    const double budget = settings_.factor * share * kCores * settings_.window / kMeanWork;
    const double calls = static_cast<double>(last - first + 1);
    worst = std::max(worst, (calls - budget - 2) / std::sqrt(budget));
  }
  return worst;
}

// Beyond a budget of N calls only 2 x root of N + 2 are chance, from all routers together.
TEST(SlowStartFleet, CallsOfAllRoutersStayWithinChanceOfTheBudget) {
  const FleetSettings cases[] = {{19, 2.5, 500, 1.6, false, 1},
                                 {20, 2.0, 3000, 1.6, true, 2},
                                 {20, 3.0, 1000, 1.6, true, 3},
                                 {30, 2.0, 3000, 1.6, true, 4},
                                 {30, 2.5, 500, 1.6, true, 5}};
  for (const FleetSettings& settings : cases) {
    RouterFleet fleet(settings);
    fleet.run();
    EXPECT_GT(fleet.calls_to_started_host(), 25U);  // the host is in demand
    EXPECT_LE(fleet.worst_excess(), 2) << settings.invokers << " routers, seed " << settings.seed;
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
