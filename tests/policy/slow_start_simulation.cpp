#include "policy/slow_start_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lotusyard::policy::test {
namespace {

// Calls that arrive, in relation to what five hosts can serve.
constexpr double kUsualLoad = 1.6;
constexpr double kOverload = 6.4;

std::string host_name(int index) { return "h" + std::to_string(index); }

}  // namespace

SlowStartSimulation::SlowStartSimulation(Disturbance disturbance, int processes, double window_ms,
                                         double factor, std::uint64_t seed)
    : disturbance_(disturbance),
      process_count_(processes),
      window_(window_ms),
      factor_(factor),
      random_(seed),
      hosts_(kHosts) {
  if (disturbance == Disturbance::small_host)
    hosts_[0].cores = 1;
  starting_hosts_ = starts_many(disturbance) ? 5 : 1;
  for (int index = 0; index < kHosts; ++index) {
    simulated_hosts_.set_cores(host_name(index), host(index).cores);
    for (std::uint64_t function = 1; function <= kFunctions; ++function)
      simulated_hosts_.add_instance(host_name(index), function);
  }
}

WorstWindow SlowStartSimulation::run() {
  make_processes();
  for (now_ = 0; now_ < kEnd; now_ += kStep)
    step();
  for (int index = 0; index < starting_hosts_; ++index)
    check_windows(host(index));
  return worst_;
}

int SlowStartSimulation::third_of_processes() const { return std::max(1, process_count_ / 3); }

void SlowStartSimulation::make_processes() {
  const bool starts_with_a_third = disturbance_ == Disturbance::more_processes;
  live_processes_ = starts_with_a_third ? third_of_processes() : process_count_;
  for (int rank = 0; rank < process_count_; ++rank) {
    processes_.push_back(make_process(rank, live_processes_));
    notified_.push_back(false);
    if (rank < live_processes_)
      processes_.back().update_endpoints(list_made_at(0));
  }
}

PolicyFixture SlowStartSimulation::make_process(int rank, int processes) {
  Settings settings = make_settings();
  settings.invokers = processes;
  settings.rank = rank;
  settings.host_protocol.answers_misses = true;
  settings.slow_start.factor = factor_;
  settings.slow_start.window = Millis(window_);
  settings.slow_start.initial = kSlowStartInitial;
  settings.slow_start.duration = Millis(kSlowStartDuration);
  settings.load_orders.floor = 6;
  settings.load_orders.ratio = 0.2;
  settings.load_orders.window = Millis(10000);
  settings.seed = random_();
  settings_ = settings;
  PolicyFixture process(settings);
  process.now = Millis(now_);
  return process;
}

std::vector<HostEntry> SlowStartSimulation::list_made_at(double time) {
  std::vector<HostEntry> list;
  for (int index = 0; index < kHosts; ++index) {
    const StartingHost& listed = host(index);
    const bool has_started = index < starting_hosts_ && listed.started <= time;
    list.push_back(host_entry(host_name(index), HostState::ready, has_started ? listed.started : 0));
    list.back().weight = listed.cores;
  }
  return list;
}

std::vector<HostEntry> SlowStartSimulation::starting_entries() {
  auto list = list_made_at(now_);
  list.resize(static_cast<std::size_t>(starting_hosts_));
  return list;
}

void SlowStartSimulation::step() {
  for (auto& process : processes_)
    process.advance(now_ - process.now.count());
  disturb();
  request_calls();
  simulated_hosts_.finish_due(now_, processes_);
  start_calls_and_loads();
}

bool SlowStartSimulation::is_quiet() const {
  return disturbance_ == Disturbance::quiet_time && now_ > kStart - 500 && now_ < kStart + 2500;
}

void SlowStartSimulation::request_calls() {
  const bool is_overloaded = disturbance_ == Disturbance::overload && now_ >= kStart;
  const double load = is_overloaded ? kOverload : kUsualLoad;
  const double calls_per_ms = load * 5 * 4 / kMeanWork;  // of all processes; five hosts of four cores
  for (; next_call_at_ <= now_; next_call_at_ += -std::log(1 - uniform(random_)) / calls_per_ms) {
    if (!is_quiet())
      request_call();
  }
}

void SlowStartSimulation::request_call() {
  PolicyFixture& process = processes_[random_() % static_cast<std::size_t>(live_processes_)];
  // Low numbers are more frequent than high ones.
  const double skewed = kFunctions * uniform(random_) * uniform(random_);
  const std::uint64_t function = 1 + static_cast<std::uint64_t>(skewed);
  const std::string id = std::to_string(++last_call_id_);
  simulated_hosts_.add_call(id, function);
  process.request(id, function, function % 3 == 0 ? "unsafe" : "safe", 2000, 4);
}

void SlowStartSimulation::start_calls_and_loads() {
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    for (const auto& send : std::exchange(processes_[i].sends, {})) {
      if (now_ >= kStart && notified_[i])
        host(send.host).calls_at.push_back(now_);
      simulated_hosts_.start_call(i, send, now_);
    }
    for (const auto& order : std::exchange(processes_[i].loads, {}))
      simulated_hosts_.start_load(i, order, now_);
  }
}

double SlowStartSimulation::allowed_calls(const StartingHost& host, double window_began) const {
  const double age = std::max(0.0, window_began - host.started) / kSlowStartDuration;
  const double share = kSlowStartInitial + (1 - kSlowStartInitial) * std::min(1.0, age);
  const double budget = factor_ * share * host.cores * window_ / kMeanWork;
  // Processes without shared state may exceed the budget by chance.
  return budget < 30 ? budget + 3 * std::sqrt(budget) + 3 : budget + 2 * std::sqrt(budget) + 2;
}

void SlowStartSimulation::check_windows(const StartingHost& host) {
  const auto& calls_at = host.calls_at;
  worst_.total_calls += static_cast<int>(calls_at.size());
  std::size_t first = 0;
  for (std::size_t last = 0; last < calls_at.size(); ++last) {
    const double window_began = calls_at[last] - window_;
    while (calls_at[first] <= window_began)
      ++first;
    // The budget grows; a window uses its value at the start of the window.
    const double allowed = allowed_calls(host, window_began);
    const int calls = static_cast<int>(last - first + 1);
    if (calls / allowed <= worst_.used_fraction())
      continue;
    worst_.calls = calls;
    worst_.allowed = allowed;
  }
}

}  // namespace lotusyard::policy::test
