// Measures maintenance with real processes. To be run by hand: lotusyard_tests "[works-measure]".
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <iostream>

#include "support/cluster.h"

namespace lotusyard::test {
namespace {

void print(const std::string& label, std::vector<double> values) {
  std::sort(values.begin(), values.end());
  if (values.empty())
    return;
  std::cout << label << ": " << values.size() << " runs, least " << values.front() << ", median "
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

// The time of the first entry of this kind; 0 if there is none.
double time_of_first(const Cluster& cluster, const std::string& kind) {
  for (const auto& entry : maintenance::parse_timeline(cluster.lines()).entries) {
    if (entry.kind == kind)
      return entry.at;
  }
  return 0;
}

// The number of answers that all clients have received, by status word.
std::map<std::string, int> count_answers(const Cluster& cluster) {
  std::map<std::string, int> out;
  for (const auto& m : cluster.members) {
    if (!m->client)
      continue;
    for (const auto& [word, body] : m->client->results)
      ++out[word];
  }
  return out;
}

TEST_CASE("latency of maintenance steps and of a change of leader", "[.][works-measure]") {
  std::vector<double> until_release, until_next_step;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Cluster cluster(seed, 3, 6);
    REQUIRE(cluster.all_ready(20));
    REQUIRE(cluster.add_job("w", 2));
    REQUIRE(cluster.run_until([&] { return time_of_first(cluster, "touch") > 0; }, 20));
    until_release.push_back(time_of_first(cluster, "touch") - time_of_first(cluster, "add"));
    std::string leader_name;
    for (const auto& line : cluster.lines()) {
      if (line.find(" leads") != std::string::npos)
        leader_name = line.substr(line.find("member=") + 7, 1);
    }
    Cluster::Member* leader = nullptr;
    for (auto& m : cluster.members)
      leader = m->name == leader_name ? m.get() : leader;
    REQUIRE(leader != nullptr);
    const double killed_at = cluster.fixture.loop.now().count();
    leader->process->signal(SIGKILL);
    leader->recovers_at = killed_at + 1e9;
    double next_step_at = 0;
    cluster.run_until(
        [&] {
          cluster.propose_returns(0);
          for (const auto& entry : maintenance::parse_timeline(cluster.lines()).entries) {
            if (next_step_at == 0 && entry.at > killed_at &&
                (entry.kind == "returned" || entry.kind == "take"))
              next_step_at = entry.at;
          }
          return next_step_at > 0;
        },
        20);
    if (next_step_at > 0)
      until_next_step.push_back(next_step_at - killed_at);
  }
  print("from add to the first release of a host, ms (lease 600, election 200)", until_release);
  print("from the leader's death to the next committed step, ms", until_next_step);
}

void wait(Cluster& cluster, double duration_ms) {
  const double until = cluster.fixture.loop.now().count() + duration_ms;
  cluster.run_until([&] { return cluster.fixture.loop.now().count() >= until; }, 30);
}

// Disables or enables the host at the admin endpoints of all members; `verb` is `disable` or `enable`.
void change_by_hand(Cluster& cluster, const std::string& verb, int host) {
  for (auto& member : cluster.members)
    cluster.service.post(member->admin_endpoint, "/-/hosts/h" + std::to_string(host) + "/" + verb);
}

// Takes h0, h1 and h2 out by a job, one at a time.
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
                         [](const auto& entry) { return entry.kind == "back"; }) == 3;
  };
  cluster.run_until(all_returned, 40);
}

void take_out_by_hand_one_by_one(Cluster& cluster) {
  for (int host = 0; host < 3; ++host) {
    change_by_hand(cluster, "disable", host);
    // The longest time-out, after which calls have ended, and the maintenance itself.
    wait(cluster, 400 + 400);
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

// The percentage of the calls between the two counts that were not served.
double percentage_failed(const std::map<std::string, int>& before, const std::map<std::string, int>& after) {
  double all = 0;
  double served = 0;
  for (const auto& [word, count] : after) {
    const auto earlier = before.find(word);
    const int added = count - (earlier == before.end() ? 0 : earlier->second);
    all += added;
    served += word == "OK" ? added : 0;
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

// Half of the hosts are out for 0.4 s each: by a job, disabled by hand one after the other, and disabled by
// hand all at once.
TEST_CASE("calls that fail while half of the hosts are out", "[.][works-measure]") {
  for (const std::string how : {"nothing", "work", "one", "all"}) {
    std::vector<double> failed;
    std::vector<double> durations;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Cluster cluster(seed, 3, 6);
      REQUIRE(cluster.all_ready(20));
      const double started_at = cluster.fixture.loop.now().count();
      wait(cluster, 1000);
      const auto before = count_answers(cluster);
      take_out(cluster, how);
      durations.push_back(cluster.fixture.loop.now().count() - started_at - 1000);
      wait(cluster, 1000);
      failed.push_back(percentage_failed(before, count_answers(cluster)));
    }
    print(how + ": % of calls not served", failed);
    print(how + ": ms", durations);
  }
}

TEST_CASE("processor time and messages of an idle group", "[.][works-measure]") {
  const char* members = std::getenv("LOTUSYARD_MEMBERS");
  const int count = members == nullptr ? 5 : std::atoi(members);
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
  const auto sent_before = counters("group.sent");
  std::vector<double> processor_ms_before;
  for (auto& m : cluster.members)
    processor_ms_before.push_back(processor_ms(m->process->pid()));
  const double started_at = cluster.fixture.loop.now().count();
  cluster.run_until([&] { return cluster.fixture.loop.now().count() >= started_at + 10000; }, 20);
  const double seconds = (cluster.fixture.loop.now().count() - started_at) / 1000;
  std::vector<double> processor, messages;
  for (std::size_t i = 0; i < cluster.members.size(); ++i)
    processor.push_back((processor_ms(cluster.members[i]->process->pid()) - processor_ms_before[i]) /
                        seconds);
  const auto sent_after = counters("group.sent");
  for (std::size_t i = 0; i < sent_before.size(); ++i)
    messages.push_back((sent_after[i] - sent_before[i]) / (seconds + 0.5));
  print(std::to_string(count) + " idle members, lease 3 s: processor ms per second, by member", processor);
  print(std::to_string(count) + " idle members: frames sent per second, by member", messages);
}

}  // namespace
}  // namespace lotusyard::test
