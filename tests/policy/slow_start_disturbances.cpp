// The disturbances of the processes and hosts of a SlowStartSimulation.
#include <algorithm>
#include <cmath>

#include "policy/slow_start_simulation.h"

namespace lotusyard::policy::test {

void SlowStartSimulation::disturb() {
  const bool starts_again = disturbance_ == Disturbance::second_start && is_now(kStart + window_ / 2);
  if (is_now(kStart) || starts_again)
    start_hosts();
  disturb_processes();
  disturb_lists();
}

void SlowStartSimulation::disturb_processes() {
  switch (disturbance_) {
    case Disturbance::process_restart:
      if (is_now(kStart + 600))
        restart_processes(now_);
      break;
    case Disturbance::late_notice:
      if (is_now(kStart + 600))
        restart_processes(0);
      if (is_now(kStart + 900))
        notify(ListKind::delta);
      break;
    case Disturbance::more_processes:
      if (is_now(kStart + 400))
        change_process_count(process_count_);
      break;
    case Disturbance::fewer_processes:
      if (is_now(kStart + 400))
        change_process_count(third_of_processes());
      if (is_now(kStart + 700))
        live_processes_ = third_of_processes();
      break;
    default:
      break;
  }
}

void SlowStartSimulation::disturb_lists() {
  const bool is_quarter_second = std::fmod(now_, 250) < kStep;
  if (disturbance_ == Disturbance::full_lists && now_ >= kStart && is_quarter_second)
    notify(ListKind::full);
  if (disturbance_ != Disturbance::stale_list)
    return;
  if (is_now(kStart + 500)) {
    for (auto& process : processes_)
      process.update_endpoints(list_made_at(0), ListKind::cached);
  }
  if (is_now(kStart + 800))
    notify(ListKind::full);
}

void SlowStartSimulation::start_hosts() {
  for (int index = 0; index < starting_hosts_; ++index) {
    StartingHost& starting = host(index);
    if (now_ > kStart + kStep)
      check_windows(starting);  // the second start begins a new window
    starting.started = now_;
    starting.calls_at.clear();
    simulated_hosts_.remove_instances("h" + std::to_string(index));
  }
  notify(ListKind::delta);
}

void SlowStartSimulation::notify(ListKind kind) {
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    notified_[i] = true;
    processes_[i].update_endpoints(kind == ListKind::delta ? starting_entries() : list_made_at(now_), kind);
  }
}

void SlowStartSimulation::restart_processes(double list_time) {
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    processes_[i] = make_process(static_cast<int>(i), live_processes_);
    notified_[i] = list_time >= kStart;
    processes_[i].update_endpoints(list_made_at(list_time));
  }
  simulated_hosts_.disconnect_invokers();
}

void SlowStartSimulation::change_process_count(int count) {
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    Settings settings = settings_;
    settings.rank = static_cast<int>(i);
    settings.invokers = count;
    processes_[i].handle(event::SettingsChanged{settings});
    if (static_cast<int>(i) >= live_processes_)
      processes_[i].update_endpoints(list_made_at(now_));
  }
  live_processes_ = std::max(live_processes_, count);
}

}  // namespace lotusyard::policy::test
