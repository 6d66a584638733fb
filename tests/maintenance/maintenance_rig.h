// A rig in which one work over all hosts is settled while the processes are disturbed.
#pragma once

#include "support/process_rig.h"

namespace lotusyard::test {

class WorkRig : public ProcessRig {
 public:
  using ProcessRig::ProcessRig;

  double pause_least = 100, pause_most = 600;  // milliseconds between disturbances

  virtual void disturb() = 0;
  virtual void heal() = 0;  // of everything but processes that do not run

  bool add(const std::string& id, int out) {
    nlohmann::json work = {
        {"t", "add"},
        {"id", "add-" + id},
        {"added", {{"id", id}, {"select", {{"all", true}}}, {"bounds", {{"out", out}, {"usable", 0.5}}}}}};
    const auto runs = [](const auto* p) { return p->back_at == 0; };
    return until(
        [&] {
          const auto running = std::find_if(operated.begin(), operated.end(), runs);
          if (running != operated.end())
            propose(**running, work);
          const auto course = maintenance::parse_timeline(lines());
          return std::any_of(course.entries.begin(), course.entries.end(),
                             [&](const auto& h) { return h.kind == "add"; });
        },
        20);
  }
  // Every host has been out and is back.
  bool done() const {
    const auto course = maintenance::parse_timeline(lines());
    std::map<std::string, int> back;
    for (const auto& h : course.entries)
      back[h.host] += h.kind == "back";
    int all = 0;
    for (const auto& [host, times] : back)
      all += times > 0;
    return all == static_cast<int>(world.host.size());
  }
  // One work over all hosts, with as many disturbances; what is broken, else empty.
  std::string run(int disturbances, int most_out) {
    REQUIRE(until([&] { return s.ask(operated[0]->admin_endpoint, "GET", "/-/ready") == 200; }, 20));
    REQUIRE(add("w", most_out));
    for (int i = 0; i < disturbances; ++i) {
      const double next = now() + pause_least + static_cast<double>(below(random, pause_span()));
      until([&] { return now() >= next; }, 10);
      disturb();
      give_back(100);
      const std::string broken = broken_rule(most_out);
      if (!broken.empty())
        return broken;
    }
    heal();
    revive_all();
    double checked = 0;
    const bool ended = until(
        [&] {
          if (now() < checked)
            return false;
          checked = now() + 100;
          give_back(100);
          return done();
        },
        60);
    const std::string broken = broken_rule(most_out);
    if (!broken.empty())
      return broken;
    if (!ended)
      return "the work does not end";
    const auto answered = [](const auto* p) {
      return !p->tablet || p->tablet->closed || p->tablet->open.size() < 40;
    };
    const bool all_answered =
        until([&] { return std::all_of(processes.begin(), processes.end(), answered); }, 5);
    return all_answered ? std::string() : "calls are not answered";
  }

 private:
  std::size_t pause_span() const { return static_cast<std::size_t>(pause_most - pause_least); }
};

}  // namespace lotusyard::test
