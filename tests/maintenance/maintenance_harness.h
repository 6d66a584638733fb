// A harness in which a job over all hosts is carried out while the processes are disturbed.
#pragma once

#include "support/process_harness.h"

namespace lotusyard::test {

class MaintenanceHarness : public ProcessHarness {
 public:
  using ProcessHarness::ProcessHarness;

  double min_pause = 100, max_pause = 600;  // milliseconds between disturbances

  virtual void disturb() = 0;
  virtual void heal() = 0;  // ends all disturbances, except that processes which do not run stay so

  // Proposes a job over all hosts until it is committed.
  bool add_job(const std::string& id, int out) {
    nlohmann::json proposal = {
        {"t", "add"},
        {"id", "add-" + id},
        {"added", {{"id", id}, {"select", {{"all", true}}}, {"bounds", {{"out", out}, {"usable", 0.5}}}}}};
    const auto runs = [](const auto* p) { return p->recovers_at == 0; };
    return run_until(
        [&] {
          const auto running = std::find_if(operator_targets.begin(), operator_targets.end(), runs);
          if (running != operator_targets.end())
            propose(**running, proposal);
          const auto timeline = maintenance::parse_timeline(lines());
          return std::any_of(timeline.entries.begin(), timeline.entries.end(),
                             [&](const auto& entry) { return entry.kind == "add"; });
        },
        20);
  }
  // Whether every host has been out and has returned.
  bool all_hosts_returned() const {
    const auto timeline = maintenance::parse_timeline(lines());
    std::map<std::string, int> returns;
    for (const auto& entry : timeline.entries)
      returns[entry.host] += entry.kind == "back";
    int returned_hosts = 0;
    for (const auto& [host, count] : returns)
      returned_hosts += count > 0;
    return returned_hosts == static_cast<int>(fixture.host.size());
  }
  // Runs a job over all hosts with this number of disturbances. Returns the first violation; empty if there
  // is none.
  std::string run(int disturbances, int max_out) {
    REQUIRE(run_until(
        [&] { return service.request(operator_targets[0]->admin_endpoint, "GET", "/-/ready") == 200; }, 20));
    REQUIRE(add_job("w", max_out));
    for (int i = 0; i < disturbances; ++i) {
      const double next_disturbance_at =
          now() + min_pause + static_cast<double>(below(random, pause_range()));
      run_until([&] { return now() >= next_disturbance_at; }, 10);
      disturb();
      propose_returns(100);
      const std::string violation = violated_rule(max_out);
      if (!violation.empty())
        return violation;
    }
    heal();
    recover_all();
    double next_check_at = 0;
    const bool ended = run_until(
        [&] {
          if (now() < next_check_at)
            return false;
          next_check_at = now() + 100;
          propose_returns(100);
          return all_hosts_returned();
        },
        60);
    const std::string violation = violated_rule(max_out);
    if (!violation.empty())
      return violation;
    if (!ended)
      return "the job does not end";
    const auto is_caught_up = [](const auto* p) {
      return !p->client || p->client->closed || p->client->open_calls.size() < 40;
    };
    const bool all_caught_up =
        run_until([&] { return std::all_of(processes.begin(), processes.end(), is_caught_up); }, 5);
    return all_caught_up ? std::string() : "calls are not answered";
  }

 private:
  std::size_t pause_range() const { return static_cast<std::size_t>(max_pause - min_pause); }
};

}  // namespace lotusyard::test
