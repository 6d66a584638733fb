// A rig in which one work over all hosts is settled while the processes are disturbed.
#pragma once

#include "support/process_harness.h"

namespace lotusyard::test {

class WorkRig : public ProcessHarness {
 public:
  using ProcessHarness::ProcessHarness;

  double pause_least = 100, pause_most = 600;  // milliseconds between disturbances

  virtual void disturb() = 0;
  virtual void heal() = 0;  // of everything but processes that do not run

  bool add(const std::string& id, int out) {
    nlohmann::json work = {
        {"t", "add"},
        {"id", "add-" + id},
        {"added", {{"id", id}, {"select", {{"all", true}}}, {"bounds", {{"out", out}, {"usable", 0.5}}}}}};
    const auto runs = [](const auto* p) { return p->recovers_at == 0; };
    return run_until(
        [&] {
          const auto running = std::find_if(operator_targets.begin(), operator_targets.end(), runs);
          if (running != operator_targets.end())
            propose(**running, work);
          const auto course = maintenance::parse_timeline(lines());
          return std::any_of(course.entries.begin(), course.entries.end(),
                             [&](const auto& h) { return h.what == "add"; });
        },
        20);
  }
  // Every host has been out and is back.
  bool done() const {
    const auto course = maintenance::parse_timeline(lines());
    std::map<std::string, int> back;
    for (const auto& h : course.entries)
      back[h.host] += h.what == "back";
    int all = 0;
    for (const auto& [host, times] : back)
      all += times > 0;
    return all == static_cast<int>(fixture.host.size());
  }
  // One work over all hosts, with as many disturbances; what is broken, else empty.
  std::string run(int disturbances, int most_out) {
    REQUIRE(run_until(
        [&] { return service.request(operator_targets[0]->admin_endpoint, "GET", "/-/ready") == 200; }, 20));
    REQUIRE(add("w", most_out));
    for (int i = 0; i < disturbances; ++i) {
      const double next = now() + pause_least + static_cast<double>(below(random, pause_span()));
      run_until([&] { return now() >= next; }, 10);
      disturb();
      propose_returns(100);
      const std::string broken = violated_rule(most_out);
      if (!broken.empty())
        return broken;
    }
    heal();
    recover_all();
    double checked = 0;
    const bool ended = run_until(
        [&] {
          if (now() < checked)
            return false;
          checked = now() + 100;
          propose_returns(100);
          return done();
        },
        60);
    const std::string broken = violated_rule(most_out);
    if (!broken.empty())
      return broken;
    if (!ended)
      return "the work does not end";
    const auto answered = [](const auto* p) {
      return !p->client || p->client->closed || p->client->open_calls.size() < 40;
    };
    const bool all_answered =
        run_until([&] { return std::all_of(processes.begin(), processes.end(), answered); }, 5);
    return all_answered ? std::string() : "calls are not answered";
  }

 private:
  std::size_t pause_span() const { return static_cast<std::size_t>(pause_most - pause_least); }
};

}  // namespace lotusyard::test
