#include "outage/soak.h"

#include <algorithm>

namespace lotusyard::test::outage {
namespace {

constexpr double kNotificationDelayWithoutChecks = 7000;
constexpr Millis kRecovery{6000};
constexpr Millis kFinalCalls{1500};
bool has_checks(std::uint64_t seed) { return seed % 5 != 0; }

}  // namespace

// In every fifth seed the settings forbid health checks.
HarnessOptions Soak::options_for(std::uint64_t seed) {
  constexpr double kGraces[] = {500, 1000, 2000};
  HarnessOptions options;
  options.invokers = 2 + static_cast<int>(seed % 3);
  options.hosts = 6 + static_cast<int>(seed % 4);
  options.drain_grace = kGraces[seed / 3 % 3];
  options.accepts_probes = has_checks(seed);
  options.instance_idle_timeout = Millis(1500);
  options.call_interval = Millis(15 + static_cast<double>(seed % 4) * 10);
  options.adjust = [](nlohmann::json& file) {
    auto& rules = file["settings"]["Rules"];
    rules["Cold"] = 4000;
    rules["ColdFrom"] = 0.25;
    rules["FallMultiple"] = 2;
    rules["TipAfter"] = 1000;
  };
  return options;
}

Soak::Soak(std::uint64_t seed) : harness(options_for(seed)), random_(seed) {
  rules.drain_grace = harness.options.drain_grace;
  rules.clock = has_checks(seed) ? NotificationClock::per_outage : NotificationClock::per_event;
  rules.notification_delay = has_checks(seed) ? 2000 : kNotificationDelayWithoutChecks;
  rules.cold_duration = 4000;
  busy_hosts_.resize(harness.hosts.size());
}

double Soak::random_between(double least, double most) {
  return std::uniform_real_distribution<double>(least, most)(random_);
}

void Soak::log_step(const std::string& step) {
  steps.push_back(std::to_string(static_cast<long>(harness.now() - harness.history.phases[0].at)) + " " +
                  step);
}

void Soak::schedule_end(double after, std::function<void()> end) {
  scheduled_ends_.push_back({harness.now() + after, std::move(end)});
}

void Soak::run_ends(bool all) {
  std::vector<ScheduledEnd> due;
  for (std::size_t i = 0; i < scheduled_ends_.size();) {
    if (!all && scheduled_ends_[i].at > harness.now()) {
      ++i;
      continue;
    }
    due.push_back(std::move(scheduled_ends_[i]));
    scheduled_ends_.erase(scheduled_ends_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  for (const auto& scheduled : due)
    scheduled.end();
}

void Soak::run(Millis duration) {
  harness.start_all();
  harness.run_for(Millis(1500));
  const double end = harness.now() + duration.count();
  double next_step = harness.now();
  while (harness.now() < end) {
    if (harness.now() >= next_step) {
      next_step = harness.now() + random_between(200, 1200);
      step();
    }
    run_ends(false);
    harness.run_for(Millis(20));
  }
  log_step("the faults end");
  while (!scheduled_ends_.empty()) {
    run_ends(true);
    harness.run_for(Millis(100));
  }
  harness.run_for(kRecovery);
  const double from = harness.now();
  harness.run_for(kFinalCalls);
  harness.finish_calls();
  final_served_share = served_share(harness.history, from, harness.now());
}

void Soak::step() {
  switch (below(random_, 14)) {
    case 0:
    case 1:
    case 2:
      return begin_outage();
    case 3:
    case 4:
    case 5:
      return drain_hosts();
    case 6:
      return kill_host();
    case 7:
      return hang_host();
    case 8:
      return reset_connections();
    case 9:
      return reload_invoker();
    case 10:
      return stop_invoker();
    case 11:
      return kill_invoker();
    case 12:
      return terminate_invoker();
    default:
      return open_idle_connections();
  }
}

}  // namespace lotusyard::test::outage
