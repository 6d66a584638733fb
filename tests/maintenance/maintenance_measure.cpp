// Figures of works on machines, by whole members. By hand: lotusyard_tests "[works-measure]".
#include <unistd.h>

#include <iostream>

#include "support/cluster.h"

namespace lotusyard::test {
namespace {

void print(const std::string& what, std::vector<double> values) {
  std::sort(values.begin(), values.end());
  if (values.empty())
    return;
  std::cout << what << ": " << values.size() << " runs, least " << values.front() << ", median "
            << values[values.size() / 2] << ", most " << values.back() << std::endl;
}

double processor_ms(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  double ticks = 0;
  for (int i = 1; i <= 15 && in >> word; ++i) {
    if (i >= 14)
      ticks += std::stod(word);
  }
  return ticks * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double first(const Cluster& cluster, const std::string& what) {
  for (const auto& h : maintenance::parse_timeline(cluster.lines()).entries) {
    if (h.what == what)
      return h.at;
  }
  return 0;
}

std::map<std::string, int> answers(const Cluster& cluster) {
  std::map<std::string, int> out;
  for (const auto& m : cluster.members) {
    if (!m->tablet)
      continue;
    for (const auto& [word, body] : m->tablet->got)
      ++out[word];
  }
  return out;
}

TEST_CASE("how long a group takes", "[.][works-measure]") {
  std::vector<double> to_touch, after_death;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Cluster cluster(seed, 3, 6);
    REQUIRE(cluster.all_ready(20));
    REQUIRE(cluster.add("w", 2));
    REQUIRE(cluster.until([&] { return first(cluster, "touch") > 0; }, 20));
    to_touch.push_back(first(cluster, "touch") - first(cluster, "add"));
    std::string leader;
    for (const auto& line : cluster.lines()) {
      if (line.find(" leads") != std::string::npos)
        leader = line.substr(line.find("member=") + 7, 1);
    }
    Cluster::Member* led = nullptr;
    for (auto& m : cluster.members)
      led = m->name == leader ? m.get() : led;
    REQUIRE(led != nullptr);
    const double died = cluster.world.loop.now().count();
    led->process->signal(SIGKILL);
    led->back_at = died + 1e9;
    double next = 0;
    cluster.until(
        [&] {
          cluster.give_back(0);
          for (const auto& h : maintenance::parse_timeline(cluster.lines()).entries) {
            if (next == 0 && h.at > died && (h.what == "returned" || h.what == "take"))
              next = h.at;
          }
          return next > 0;
        },
        20);
    if (next > 0)
      after_death.push_back(next - died);
  }
  print("from add to the first host that may be touched, ms (lease 600, election 200)", to_touch);
  print("from the leader's death to the next agreed step, ms", after_death);
}

// Half of the hosts by a work, by hand one after the other, and by hand all at once; each host is away for
// 0.4 s.
TEST_CASE("calls lost while half of the hosts are away", "[.][works-measure]") {
  for (const std::string how : {"nothing", "work", "one", "all"}) {
    std::vector<double> lost, took;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Cluster cluster(seed, 3, 6);
      REQUIRE(cluster.all_ready(20));
      const double began = cluster.world.loop.now().count();
      const auto wait = [&](double ms) {
        const double until = cluster.world.loop.now().count() + ms;
        cluster.until([&] { return cluster.world.loop.now().count() >= until; }, 30);
      };
      const auto by_hand = [&](const std::string& verb, int host) {
        for (auto& m : cluster.members)
          cluster.s.post(m->admin_endpoint, "/-/hosts/h" + std::to_string(host) + "/" + verb);
      };
      wait(1000);
      const auto before = answers(cluster);
      if (how == "work") {
        nlohmann::json work = {{"t", "add"},
                               {"id", "x"},
                               {"added",
                                {{"id", "w"},
                                 {"select", {{"hosts", {"h0", "h1", "h2"}}}},
                                 {"bounds", {{"out", 1}, {"usable", 0.5}}}}}};
        REQUIRE(cluster.propose(*cluster.members[0], work) == 202);
        cluster.until(
            [&] {
              cluster.give_back(400);
              int back = 0;
              for (const auto& h : maintenance::parse_timeline(cluster.lines()).entries)
                back += h.what == "back";
              return back == 3;
            },
            40);
      } else if (how == "one") {
        for (int host = 0; host < 3; ++host) {
          by_hand("disable", host);
          wait(400 + 400);  // the longest limit, by which calls have ended, and the work itself
          by_hand("enable", host);
        }
      } else {
        for (int host = 0; host < 3 && how == "all"; ++host)
          by_hand("disable", host);
        wait(800);
        for (int host = 0; host < 3 && how == "all"; ++host)
          by_hand("enable", host);
      }
      took.push_back(cluster.world.loop.now().count() - began - 1000);
      wait(1000);
      auto after = answers(cluster);
      double all = 0, served = 0;
      for (const auto& [word, count] : after) {
        const auto was = before.find(word);
        const int more = count - (was == before.end() ? 0 : was->second);
        all += more;
        served += word == "OK" ? more : 0;
      }
      lost.push_back(all > 0 ? std::round((all - served) / all * 10000) / 100 : 0);
    }
    print(how + ": % of calls not served", lost);
    print(how + ": ms", took);
  }
}

TEST_CASE("what a group costs at rest", "[.][works-measure]") {
  const char* given = std::getenv("LOTUSYARD_MEMBERS");
  const int count = given == nullptr ? 5 : std::atoi(given);
  Cluster cluster(1, count, 6, {}, 5, 3000, 1000);
  cluster.quiet = true;
  REQUIRE(cluster.all_ready(60));
  const auto counters = [&](const std::string& name) {
    std::vector<double> out;
    for (auto& m : cluster.members)
      m->process->signal(SIGUSR1);
    const double until = cluster.world.loop.now().count() + 500;
    cluster.until([&] { return cluster.world.loop.now().count() >= until; }, 5);
    for (auto& m : cluster.members)
      out.push_back(static_cast<double>(m->process->counter(name)));
    return out;
  };
  const auto sent = counters("group.sent");
  std::vector<double> used;
  for (auto& m : cluster.members)
    used.push_back(processor_ms(m->process->pid()));
  const double began = cluster.world.loop.now().count();
  cluster.until([&] { return cluster.world.loop.now().count() >= began + 10000; }, 20);
  const double seconds = (cluster.world.loop.now().count() - began) / 1000;
  std::vector<double> processor, messages;
  for (std::size_t i = 0; i < cluster.members.size(); ++i)
    processor.push_back((processor_ms(cluster.members[i]->process->pid()) - used[i]) / seconds);
  const auto now_sent = counters("group.sent");
  for (std::size_t i = 0; i < sent.size(); ++i)
    messages.push_back((now_sent[i] - sent[i]) / (seconds + 0.5));
  print(std::to_string(count) + " members at rest, lease 3 s: processor ms a second, by member", processor);
  print(std::to_string(count) + " members at rest: frames sent a second, by member", messages);
}

}  // namespace
}  // namespace lotusyard::test
