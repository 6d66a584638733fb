// The fleet's view and the parts of what all may send cold hosts, at whole members: real processes with
// stand-in hosts and clients, a relay among them that cuts, and kills and restarts.
#include "support/cluster.h"
#include "support/compliance_operations.h"

namespace lotusyard::test {
namespace {

struct Fleet : Cluster {
  Fleet(std::uint64_t seed, int count) : Cluster(seed, count, 4, {}, 7, 600, 200, 100) {}

  // The words of the lines of one part, in the order of time.
  struct Line {
    double at = 0;
    std::string member;
    std::map<std::string, std::string> words;
  };
  std::vector<Line> told(const std::string& part) const {
    std::vector<Line> out;
    for (const auto& line : lines()) {
      std::istringstream in(line);
      std::string word;
      if (!(in >> word) || word != part)
        continue;
      Line read;
      while (in >> word) {
        const auto at = word.find('=');
        if (at != std::string::npos)
          read.words[word.substr(0, at)] = word.substr(at + 1);
      }
      read.at = std::stod(read.words["at"]);
      read.member = read.words["member"];
      out.push_back(std::move(read));
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return out;
  }
  std::map<std::string, double> parts() const {
    std::map<std::string, double> out;
    for (const auto& line : told("shares"))
      out[line.member] = std::stod(line.words.at("part"));
    return out;
  }
  // What the member believes of another now.
  std::string believes(const std::string& member, const std::string& of) const {
    std::string out;
    for (const auto& line : told("view")) {
      if (line.member == member && line.words.at("of") == of)
        out = line.words.at("standing");
    }
    return out;
  }
  bool all_hold(double part) {
    return poll_until([&] {
      const auto all = parts();
      return std::all_of(members.begin(), members.end(), [&](const auto& m) {
        const auto found = all.find(m->name);
        return m->recovers_at > 0 || (found != all.end() && std::abs(found->second - part) < 0.001);
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
  // The largest sum of all parts that stood at once; a killed process has none.
  double largest_sum() const {
    std::map<std::string, double> now;
    auto dead = killed.begin();
    double most = 0;
    for (const auto& line : told("shares")) {
      for (; dead != killed.end() && dead->first <= line.at; ++dead)
        now.erase(dead->second);
      now[line.member] = std::stod(line.words.at("part"));
      double sum = 0;
      for (const auto& [member, part] : now)
        sum += part;
      most = std::max(most, sum);
    }
    return most;
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

TEST_CASE("processes see who joins, dies and leaves, and share anew only once nobody holds what they take",
          "[processes]") {
  Fleet fleet(51, 3);
  REQUIRE(fleet.all_ready(30));
  const bool thirds = fleet.all_hold(1.0 / 3);
  INFO(fleet.all_logs());
  REQUIRE(thirds);
  fleet.kill(*fleet.members[2]);
  REQUIRE(fleet.poll_until(
      [&] { return fleet.believes("a", "c") == "dead" && fleet.believes("b", "c") == "dead"; }));
  REQUIRE(fleet.all_hold(0.5));
  fleet.start(*fleet.members[2]);
  REQUIRE(fleet.poll_until(
      [&] { return fleet.believes("a", "c") == "alive" && fleet.believes("b", "c") == "alive"; }));
  REQUIRE(fleet.all_hold(1.0 / 3));
  fleet.members[2]->process->signal(SIGTERM);
  REQUIRE(fleet.service.run_until([&] { return fleet.members[2]->process->status() >= 0; }));
  REQUIRE(fleet.poll_until(
      [&] { return fleet.believes("a", "c") == "left" || fleet.believes("b", "c") == "left"; }));
  CHECK(fleet.largest_sum() < 1.001);
}

TEST_CASE("a member that is cut off has no part once its lease is over, and the sides find each other again",
          "[processes]") {
  Fleet fleet(52, 5);
  REQUIRE(fleet.all_ready(30));
  const bool fifths = fleet.all_hold(0.2);
  INFO(fleet.all_logs());
  REQUIRE(fifths);
  const auto& away = *fleet.members[4];
  fleet.cut_off(away, true);
  REQUIRE(fleet.poll_until(
      [&] { return fleet.parts()["e"] == 0 && std::abs(fleet.parts()["a"] - 0.25) < 0.001; }));
  REQUIRE(fleet.poll_until(
      [&] { return fleet.believes("e", "a") == "dead" && fleet.believes("a", "e") == "dead"; }));
  fleet.cut_off(away, false);
  REQUIRE(fleet.poll_until(
      [&] { return fleet.believes("e", "a") == "alive" && fleet.believes("a", "e") == "alive"; }));
  REQUIRE(fleet.all_hold(0.2));
  CHECK(fleet.largest_sum() < 1.001);
  CHECK(fleet.violated_rule(1) == "");
}

TEST_CASE("regulated calls stay at certified hosts; a revocation's answer holds; who cannot know sends none",
          "[processes]") {
  Fleet fleet(53, 3);
  REQUIRE(fleet.all_ready(30));
  propose_until_applied(fleet, {{"t", "regime"}, {"regime", {{"name", "export"}}}}, "1");
  propose_until_applied(fleet, {{"t", "tenant"}, {"tenant", ""}, {"regimes", {"export"}}}, "2");
  propose_until_applied(fleet, certify("c0", "h0"), "3");
  propose_until_applied(fleet, certify("c1", "h1"), "4");
  const auto wait = [&](double ms) {
    const double till = fleet.fixture.loop.now().count() + ms;
    fleet.run_until([&] { return fleet.fixture.loop.now().count() > till; }, 20);
  };
  const double agreed = fleet.fixture.loop.now().count();
  wait(1500);
  CHECK(count_calls_after(fleet, 0, agreed) + count_calls_after(fleet, 1, agreed) > 50);
  CHECK(count_calls_after(fleet, 2, agreed) + count_calls_after(fleet, 3, agreed) == 0);

  propose_until_applied(fleet, {{"t", "revoke"}, {"name", "c0"}}, "5");
  const bool ended = fleet.poll_until([&] { return last_logged_at(fleet, "\"t\":\"ended\"") > 0; });
  {
    INFO(fleet.all_logs());
    REQUIRE(ended);
  }
  const double answered = last_logged_at(fleet, "\"t\":\"ended\"");
  wait(1000);
  CHECK(count_calls_after(fleet, 0, answered) == 0);
  CHECK(count_calls_after(fleet, 1, answered) > 50);

  const auto& away = *fleet.members[2];
  fleet.cut_off(away, true);
  REQUIRE(fleet.poll_until([&] { return last_logged_at(fleet, "nothing regulated goes out") > 0; }));
  REQUIRE(fleet.poll_until([&] {
    return last_logged_at(fleet, "member=c") > 0 && last_logged_at(fleet, "reason=not_known") > 0;
  }));
  // Nobody waits for it longer than its lease and its last call can last.
  propose_until_applied(fleet, {{"t", "revoke"}, {"name", "c1"}}, "6", {"c"});
  const double revoked = fleet.fixture.loop.now().count();
  REQUIRE(fleet.poll_until([&] { return last_logged_at(fleet, "\"name\":\"c1\",\"round\"") > revoked; }));
  const double over = last_logged_at(fleet, "\"name\":\"c1\",\"round\"");
  wait(1000);
  for (std::size_t host = 0; host < 4; ++host)
    CHECK(count_calls_after(fleet, host, over) == 0);
  CHECK(fleet.violated_rule(1) == "");
}

}  // namespace
}  // namespace lotusyard::test
