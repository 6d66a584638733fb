// Gossip, the shares of the slow-start budget and regulated calls in a cluster of real member processes with
// stand-in hosts and clients. Relays cut connections, and processes are killed and restarted.
#include "support/cluster.h"
#include "support/compliance_operations.h"

namespace lotusyard::test {
namespace {

struct GossipCluster : Cluster {
  GossipCluster(std::uint64_t seed, int count) : Cluster(seed, count, 4, {}, 7, 600, 200, 100) {}

  // An event line of a component, with its `key=value` fields.
  struct EventLine {
    double at = 0;
    std::string member;
    std::map<std::string, std::string> fields;
  };
  // The event lines of one component, ordered by time.
  std::vector<EventLine> event_lines(const std::string& component) const {
    std::vector<EventLine> out;
    for (const auto& line : lines()) {
      std::istringstream in(line);
      std::string token;
      if (!(in >> token) || token != component)
        continue;
      EventLine event;
      while (in >> token) {
        const auto at = token.find('=');
        if (at != std::string::npos)
          event.fields[token.substr(0, at)] = token.substr(at + 1);
      }
      event.at = std::stod(event.fields["at"]);
      event.member = event.fields["member"];
      out.push_back(std::move(event));
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return out;
  }
  std::map<std::string, double> shares() const {
    std::map<std::string, double> out;
    for (const auto& line : event_lines("shares"))
      out[line.member] = std::stod(line.fields.at("part"));
    return out;
  }
  // The latest status of member `of` that `member` has logged.
  std::string logged_status(const std::string& member, const std::string& of) const {
    std::string out;
    for (const auto& line : event_lines("view")) {
      if (line.member == member && line.fields.at("of") == of)
        out = line.fields.at("standing");
    }
    return out;
  }
  // Waits until every running member has logged this share as its latest.
  bool all_hold_share(double share) {
    return poll_until([&] {
      const auto all = shares();
      return std::all_of(members.begin(), members.end(), [&](const auto& m) {
        const auto found = all.find(m->name);
        return m->recovers_at > 0 || (found != all.end() && std::abs(found->second - share) < 0.001);
      });
    });
  }
  void kill(Member& m) {
    m.process->signal(SIGKILL);
    REQUIRE(service.run_until([&] { return m.process->status() >= 0; }));
    killed.emplace_back(fixture.loop.now().count(), m.name);
    m.recovers_at = 1e18;
  }
  std::vector<std::pair<double, std::string>> killed;
  // The largest sum of the members' shares at any time; a killed process has none.
  double max_share_sum() const {
    std::map<std::string, double> current;
    auto next_killed = killed.begin();
    double max_sum = 0;
    for (const auto& line : event_lines("shares")) {
      for (; next_killed != killed.end() && next_killed->first <= line.at; ++next_killed)
        current.erase(next_killed->second);
      current[line.member] = std::stod(line.fields.at("part"));
      double sum = 0;
      for (const auto& [member, share] : current)
        sum += share;
      max_sum = std::max(max_sum, sum);
    }
    return max_sum;
  }
  void cut_off(const Member& m, bool cut) {
    for (const auto& other : members) {
      if (other->name == m.name)
        continue;
      if (cut) {
        other->relay->cut.insert(m.name);
        const_cast<Member&>(m).relay->cut.insert(other->name);
      } else {
        other->relay->heal(m.name);
        const_cast<Member&>(m).relay->heal(other->name);
      }
    }
  }
};

TEST_CASE("members detect joins, crashes and leaves, and never hold shares of more than 1 in total",
          "[processes]") {
  GossipCluster cluster(51, 3);
  REQUIRE(cluster.all_ready(30));
  const bool thirds = cluster.all_hold_share(1.0 / 3);
  INFO(cluster.all_logs());
  REQUIRE(thirds);
  cluster.kill(*cluster.members[2]);
  REQUIRE(cluster.poll_until([&] {
    return cluster.logged_status("a", "c") == "dead" && cluster.logged_status("b", "c") == "dead";
  }));
  REQUIRE(cluster.all_hold_share(0.5));
  cluster.start(*cluster.members[2]);
  REQUIRE(cluster.poll_until([&] {
    return cluster.logged_status("a", "c") == "alive" && cluster.logged_status("b", "c") == "alive";
  }));
  REQUIRE(cluster.all_hold_share(1.0 / 3));
  cluster.members[2]->process->signal(SIGTERM);
  REQUIRE(cluster.service.run_until([&] { return cluster.members[2]->process->status() >= 0; }));
  REQUIRE(cluster.poll_until([&] {
    return cluster.logged_status("a", "c") == "left" || cluster.logged_status("b", "c") == "left";
  }));
  CHECK(cluster.max_share_sum() < 1.001);
}

TEST_CASE("a member that is cut off has no share once its lease has expired, and rejoins after that",
          "[processes]") {
  GossipCluster cluster(52, 5);
  REQUIRE(cluster.all_ready(30));
  const bool fifths = cluster.all_hold_share(0.2);
  INFO(cluster.all_logs());
  REQUIRE(fifths);
  const auto& isolated = *cluster.members[4];
  cluster.cut_off(isolated, true);
  REQUIRE(cluster.poll_until(
      [&] { return cluster.shares()["e"] == 0 && std::abs(cluster.shares()["a"] - 0.25) < 0.001; }));
  REQUIRE(cluster.poll_until([&] {
    return cluster.logged_status("e", "a") == "dead" && cluster.logged_status("a", "e") == "dead";
  }));
  cluster.cut_off(isolated, false);
  REQUIRE(cluster.poll_until([&] {
    return cluster.logged_status("e", "a") == "alive" && cluster.logged_status("a", "e") == "alive";
  }));
  REQUIRE(cluster.all_hold_share(0.2));
  CHECK(cluster.max_share_sum() < 1.001);
  CHECK(cluster.violated_rule(1) == "");
}

TEST_CASE("regulated calls go to certified hosts only, and none is sent after a revocation has ended",
          "[processes]") {
  GossipCluster cluster(53, 3);
  REQUIRE(cluster.all_ready(30));
  propose_until_applied(cluster, {{"t", "regime"}, {"regime", {{"name", "export"}}}}, "1");
  propose_until_applied(cluster, {{"t", "tenant"}, {"tenant", ""}, {"regimes", {"export"}}}, "2");
  propose_until_applied(cluster, certify("c0", "h0"), "3");
  propose_until_applied(cluster, certify("c1", "h1"), "4");
  const auto run_for = [&](double ms) {
    const double until = cluster.fixture.loop.now().count() + ms;
    cluster.run_until([&] { return cluster.fixture.loop.now().count() > until; }, 20);
  };
  const double applied_at = cluster.fixture.loop.now().count();
  run_for(1500);
  CHECK(count_calls_after(cluster, 0, applied_at) + count_calls_after(cluster, 1, applied_at) > 50);
  CHECK(count_calls_after(cluster, 2, applied_at) + count_calls_after(cluster, 3, applied_at) == 0);

  propose_until_applied(cluster, {{"t", "revoke"}, {"name", "c0"}}, "5");
  const bool ended = cluster.poll_until([&] { return last_logged_at(cluster, "\"t\":\"ended\"") > 0; });
  {
    INFO(cluster.all_logs());
    REQUIRE(ended);
  }
  const double ended_at = last_logged_at(cluster, "\"t\":\"ended\"");
  run_for(1000);
  CHECK(count_calls_after(cluster, 0, ended_at) == 0);
  CHECK(count_calls_after(cluster, 1, ended_at) > 50);

  const auto& isolated = *cluster.members[2];
  cluster.cut_off(isolated, true);
  REQUIRE(cluster.poll_until([&] { return last_logged_at(cluster, "nothing regulated goes out") > 0; }));
  REQUIRE(cluster.poll_until([&] {
    return last_logged_at(cluster, "member=c") > 0 && last_logged_at(cluster, "reason=not_known") > 0;
  }));
  // The revocation waits for the isolated member no longer than its lease and its last call can last.
  propose_until_applied(cluster, {{"t", "revoke"}, {"name", "c1"}}, "6", {"c"});
  const double revoked_at = cluster.fixture.loop.now().count();
  REQUIRE(
      cluster.poll_until([&] { return last_logged_at(cluster, "\"name\":\"c1\",\"round\"") > revoked_at; }));
  const double finished_at = last_logged_at(cluster, "\"name\":\"c1\",\"round\"");
  run_for(1000);
  for (std::size_t host = 0; host < 4; ++host)
    CHECK(count_calls_after(cluster, host, finished_at) == 0);
  CHECK(cluster.violated_rule(1) == "");
}

}  // namespace
}  // namespace lotusyard::test
