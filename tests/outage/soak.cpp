#include "outage/soak.h"

#include <algorithm>

namespace lotusyard::test::outage {
namespace {

constexpr double kNoticeWithoutChecks = 7000;
constexpr Millis kRecovery{6000};
constexpr Millis kFinalCalls{1500};
bool has_checks(std::uint64_t seed) { return seed % 5 != 0; }

}  // namespace

// Every fifth seed has hosts that cannot be asked for their health.
RigOptions Soak::options_for(std::uint64_t seed) {
  constexpr double kGraces[] = {500, 1000, 2000};
  RigOptions options;
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

Soak::Soak(std::uint64_t seed) : rig(options_for(seed)), random_(seed) {
  rules.drain_grace = rig.options.drain_grace;
  rules.clock = has_checks(seed) ? NoticeClock::per_outage : NoticeClock::per_event;
  rules.notice = has_checks(seed) ? 2000 : kNoticeWithoutChecks;
  rules.cold_duration = 4000;
  busy_hosts_.resize(rig.hosts.size());
}

double Soak::between(double least, double most) {
  return std::uniform_real_distribution<double>(least, most)(random_);
}

void Soak::note(const std::string& step) {
  steps.push_back(std::to_string(static_cast<long>(rig.now() - rig.history.phases[0].at)) + " " + step);
}

void Soak::end_later(double after, std::function<void()> end) {
  endings_.push_back({rig.now() + after, std::move(end)});
}

void Soak::run_endings(bool all) {
  std::vector<Ending> due;
  for (std::size_t i = 0; i < endings_.size();) {
    if (!all && endings_[i].at > rig.now()) {
      ++i;
      continue;
    }
    due.push_back(std::move(endings_[i]));
    endings_.erase(endings_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  for (const auto& ending : due)
    ending.end();
}

void Soak::run(Millis duration) {
  rig.start_all();
  rig.run_for(Millis(1500));
  const double end = rig.now() + duration.count();
  double next_step = rig.now();
  while (rig.now() < end) {
    if (rig.now() >= next_step) {
      next_step = rig.now() + between(200, 1200);
      step();
    }
    run_endings(false);
    rig.run_for(Millis(20));
  }
  note("the faults end");
  while (!endings_.empty()) {
    run_endings(true);
    rig.run_for(Millis(100));
  }
  rig.run_for(kRecovery);
  const double from = rig.now();
  rig.run_for(kFinalCalls);
  rig.settle();
  served_at_the_end = served_share(rig.history, from, rig.now());
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
      return gather_crowd();
  }
}

}  // namespace lotusyard::test::outage
