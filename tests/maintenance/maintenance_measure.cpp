// Figures of maintenance by whole members. By hand: lotusyard_tests "[works-measure]".
#include <unistd.h>

#include <algorithm>
#include <cmath>
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
    if (!m->client)
      continue;
    for (const auto& [word, body] : m->client->results)
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
    REQUIRE(cluster.run_until([&] { return first(cluster, "touch") > 0; }, 20));
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
    const double died = cluster.fixture.loop.now().count();
    led->process->signal(SIGKILL);
    led->recovers_at = died + 1e9;
    double next = 0;
    cluster.run_until(
        [&] {
          cluster.propose_returns(0);
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

void wait(Cluster& cluster, double duration_ms) {
  const double until = cluster.fixture.loop.now().count() + duration_ms;
  cluster.run_until([&] { return cluster.fixture.loop.now().count() >= until; }, 30);
}

// Through the admin endpoints of all members; `verb` is `disable` or `enable`.
void change_by_hand(Cluster& cluster, const std::string& verb, int host) {
  for (auto& member : cluster.members)
    cluster.service.post(member->admin_endpoint, "/-/hosts/h" + std::to_string(host) + "/" + verb);
}

// By a job over h0, h1 and h2, one at a time.
void take_out_by_job(Cluster& cluster) {
  const nlohmann::json job = {{"t", "add"},
                              {"id", "x"},
                              {"added",
                               {{"id", "w"},
                                {"select", {{"hosts", {"h0", "h1", "h2"}}}},
                                {"bounds", {{"out", 1}, {"usable", 0.5}}}}}};
  REQUIRE(cluster.propose(*cluster.members[0], job) == 202);
  const auto all_returned = [&] {
    cluster.propose_returns(400);
    const auto entries = maintenance::parse_timeline(cluster.lines()).entries;
    return std::count_if(entries.begin(), entries.end(),
                         [](const auto& entry) { return entry.what == "back"; }) == 3;
  };
  cluster.run_until(all_returned, 40);
}

void take_out_by_hand_one_by_one(Cluster& cluster) {
  for (int host = 0; host < 3; ++host) {
    change_by_hand(cluster, "disable", host);
    wait(cluster,
         400 + 400);  // the longest time-out, after which calls have ended, and the maintenance itself
    change_by_hand(cluster, "enable", host);
  }
}

void take_out_by_hand_all_at_once(Cluster& cluster) {
  for (int host = 0; host < 3; ++host)
    change_by_hand(cluster, "disable", host);
  wait(cluster, 800);
  for (int host = 0; host < 3; ++host)
    change_by_hand(cluster, "enable", host);
}

// Returns the percentage of all calls between the two counts that was not served.
double percentage_lost(const std::map<std::string, int>& before, const std::map<std::string, int>& after) {
  double all = 0;
  double served = 0;
  for (const auto& [word, count] : after) {
    const auto earlier = before.find(word);
    const int more = count - (earlier == before.end() ? 0 : earlier->second);
    all += more;
    served += word == "OK" ? more : 0;
  }
  return all > 0 ? std::round((all - served) / all * 10000) / 100 : 0;
}

void take_out(Cluster& cluster, const std::string& how) {
  if (how == "work")
    return take_out_by_job(cluster);
  if (how == "one")
    return take_out_by_hand_one_by_one(cluster);
  if (how == "all")
    return take_out_by_hand_all_at_once(cluster);
  wait(cluster, 800);
}

// Half of the hosts by a job, by hand one after the other, and by hand all at once; each host is away for
// 0.4 s.
TEST_CASE("calls lost while half of the hosts are away", "[.][works-measure]") {
  for (const std::string how : {"nothing", "work", "one", "all"}) {
    std::vector<double> lost;
    std::vector<double> took;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Cluster cluster(seed, 3, 6);
      REQUIRE(cluster.all_ready(20));
      const double began = cluster.fixture.loop.now().count();
      wait(cluster, 1000);
      const auto before = answers(cluster);
      take_out(cluster, how);
      took.push_back(cluster.fixture.loop.now().count() - began - 1000);
      wait(cluster, 1000);
      lost.push_back(percentage_lost(before, answers(cluster)));
    }
    print(how + ": % of calls not served", lost);
    print(how + ": ms", took);
  }
}

TEST_CASE("what a group costs at rest", "[.][works-measure]") {
  const char* given = std::getenv("LOTUSYARD_MEMBERS");
  const int count = given == nullptr ? 5 : std::atoi(given);
  Cluster cluster(1, count, 6, {}, 5, 3000, 1000);
  cluster.calls_paused = true;
  REQUIRE(cluster.all_ready(60));
  const auto counters = [&](const std::string& name) {
    std::vector<double> out;
    for (auto& m : cluster.members)
      m->process->signal(SIGUSR1);
    const double until = cluster.fixture.loop.now().count() + 500;
    cluster.run_until([&] { return cluster.fixture.loop.now().count() >= until; }, 5);
    for (auto& m : cluster.members)
      out.push_back(static_cast<double>(m->process->counter(name)));
    return out;
  };
  const auto sent = counters("group.sent");
  std::vector<double> used;
  for (auto& m : cluster.members)
    used.push_back(processor_ms(m->process->pid()));
  const double began = cluster.fixture.loop.now().count();
  cluster.run_until([&] { return cluster.fixture.loop.now().count() >= began + 10000; }, 20);
  const double seconds = (cluster.fixture.loop.now().count() - began) / 1000;
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
