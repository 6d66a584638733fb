// Works on machines without processes: the agreed board, the order and the leases, over a made-up log that
// members follow at different times, with clocks that run apart, cuts, deaths and leaders that change.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "maintenance/host_observer.h"
#include "maintenance/log_entry_codec.h"
#include "maintenance/maintenance_scheduler.h"
#include "maintenance/maintenance_state.h"
#include "maintenance/timeline.h"
#include "raft/lease.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

using maintenance::HostStage;
using maintenance::LogEntry;
using maintenance::MaintenanceJob;
using maintenance::MaintenanceState;

MaintenanceJob work_of(int hosts, int out, double usable = 0.5) {
  MaintenanceJob w;
  w.id = "w";
  for (int i = 0; i < hosts; ++i)
    w.hosts.push_back({"h" + std::to_string(i), i % 2 == 0 ? "east" : "west", "std"});
  w.bounds.max_out = out;
  w.bounds.min_usable_share = usable;
  return w;
}
template <typename Transition>
LogEntry about(const std::string& host, std::uint64_t round = 0) {
  Transition transition;
  transition.host = host;
  transition.selected_at_index = round;
  return {transition, {}, {}};
}
// The host of a transition; empty for all other commands.
std::string host_of(const maintenance::Command& command) {
  return std::visit(
      [](const auto& typed) {
        if constexpr (std::is_base_of_v<maintenance::HostTransition, std::decay_t<decltype(typed)>>)
          return typed.host;
        else
          return std::string();
      },
      command);
}
LogEntry adds(const MaintenanceJob& w) { return {maintenance::AddJob{w}, {}, {}}; }
LogEntry joins(const std::string& member, std::uint64_t life) {
  return {maintenance::Join{member, life, true}, {}, {}};
}
maintenance::Heartbeat beat_of(const std::string& member, std::uint64_t life, std::uint64_t has, int listed) {
  maintenance::Heartbeat b{member, life, 0, has, {}, maintenance::HostObservations()};
  b.observations->listed_hosts = listed;
  return b;
}
LogEntry beats(std::vector<maintenance::Heartbeat> all) {
  return {maintenance::RecordHeartbeats{std::move(all)}, {}, {}};
}
LogEntry names(std::vector<std::string> hosts) {
  return {maintenance::SelectHosts{{}, std::move(hosts)}, {}, {}};
}

// One group as it could be: members with clocks of their own follow one log with delays, and use hosts.
struct Yard {
  struct Person {
    std::string name;
    std::uint64_t life = 1;
    MaintenanceState board;
    std::optional<raft::Lease> lease;
    double clock = 1, ahead = 0;  // its clock: true time * clock + ahead
    bool up = true, reachable = true;
    std::size_t follows = 0;                // entries of the log
    std::map<std::string, double> calls;    // by host: true time at which the last one sent there ends
    std::map<std::string, double> earlier;  // of an earlier life, that this one knows nothing of
    double beats_at = 0;
  };
  struct Bug {
    bool ignores_lease = false, ignores_drain = false;
  };
  Random random;
  Bug bug;
  raft::LeaseTerms terms;
  double now = 1000;
  std::vector<LogEntry> log;
  std::vector<Person> people;
  std::size_t leader = 0;
  std::optional<maintenance::MaintenanceScheduler> order;
  std::map<std::string, maintenance::Heartbeat> heard;
  std::size_t led_from = 0;
  int hosts = 0, most_out = 0, touched = 0;
  std::string broken;

  explicit Yard(std::uint64_t seed, int members, int all_hosts) : random(seed), hosts(all_hosts) {
    terms.lease = Millis(1000);
    terms.max_attempt_time = Millis(400);
    for (int i = 0; i < members; ++i) {
      Person p;
      p.name = std::string(1, static_cast<char>('a' + i));
      p.clock = 1 + (static_cast<double>(below(random, 201)) - 100) / 20000;  // any two within 1%
      p.ahead = static_cast<double>(below(random, 100000));
      people.push_back(p);
    }
    for (auto& p : people)
      begin(p);
    order.emplace(terms);
  }
  Millis clock(const Person& p) const { return Millis(now * p.clock + p.ahead); }
  void begin(Person& p) { p.lease.emplace(terms, clock(p)); }
  bool may_use(const Person& p, const std::string& host) const {
    if (!p.up || !p.lease->was_ever_held())
      return false;
    const bool leased = bug.ignores_lease || p.lease->is_held(clock(p));
    return p.board.hosts_to_avoid(leased).count(host) == 0;
  }
  void append(const LogEntry& e) {
    // The wording is what goes through the log.
    const auto read = maintenance::parse_entry(maintenance::encode_entry(e));
    REQUIRE(read);
    log.push_back(*read);
  }
  void follow(Person& p) {
    for (; p.follows < log.size(); ++p.follows) {
      const LogEntry& e = log[p.follows];
      p.board.apply(p.follows + 1, e, clock(p));
      const auto* beats = std::get_if<maintenance::RecordHeartbeats>(&e.command);
      if (beats == nullptr)
        continue;
      for (const auto& b : beats->heartbeats) {
        if (b.member == p.name && b.incarnation == p.life)
          p.lease->renew(b.sent_at);
      }
    }
  }
  void call(Person& p) {
    const std::string host = "h" + std::to_string(below(random, static_cast<std::size_t>(hosts)));
    if (!may_use(p, host))
      return;
    p.calls[host] = now + 1 + static_cast<double>(below(random, 400));
  }
  // What no member may break, by true time.
  void watch() {
    for (const auto& host : truly_touched()) {
      for (const auto& p : people) {
        for (const auto* calls : {&p.calls, &p.earlier}) {
          const auto at = calls->find(host);
          if (at != calls->end() && at->second > now)
            broken = host + " may be touched and is used by " + p.name;
        }
      }
    }
  }
  // As the log has it, whoever has followed that far.
  MaintenanceState newest;
  std::size_t newest_follows = 0;
  std::set<std::string> truly_touched() {
    for (; newest_follows < log.size(); ++newest_follows) {
      const LogEntry& e = log[newest_follows];
      const bool done = newest.apply(newest_follows + 1, e, Millis(now)).done;
      touched += done && maintenance::holds<maintenance::ReleaseToOperators>(e);
    }
    std::set<std::string> out;
    int away = 0;
    for (const auto& [id, h] : newest.hosts()) {
      if (h.stage == HostStage::out_of_service)
        out.insert(id);
      away += h.stage == HostStage::draining || h.stage == HostStage::out_of_service ||
              h.stage == HostStage::slow_start;
    }
    most_out = std::max(most_out, away);
    return out;
  }
  void beat(Person& p) {
    if (!p.up || now < p.beats_at)
      return;
    p.beats_at = now + terms.heartbeat_interval().count();
    const auto mine = p.board.members().find(p.name);
    if (!p.reachable || !people[leader].up || !people[leader].reachable)
      return;
    if (mine == p.board.members().end() || mine->second.incarnation != p.life) {
      if (people[leader].board.last_incarnation(p.name) < p.life)
        append(joins(p.name, p.life));
      return;
    }
    maintenance::Heartbeat b = beat_of(p.name, p.life, p.board.index(), hosts);
    b.sent_at = clock(p).count();
    for (const auto& [id, h] : p.board.hosts()) {
      const bool gone = h.stage == HostStage::draining || h.stage == HostStage::out_of_service;
      const bool quiet = p.calls.count(id) == 0 || p.calls[id] <= now;
      if (gone && (bug.ignores_drain || (quiet && p.lease->earlier_attempts_ended(clock(p)))))
        b.drained_hosts.insert(id);
      if (h.stage == HostStage::slow_start)
        b.observations->served.insert(id);
      b.observations->serving_value[id] = static_cast<double>(below(random, 10));
    }
    heard[p.name] = b;
  }
  void lead() {
    Person& p = people[leader];
    if (!p.up || !p.reachable || p.follows < led_from)
      return;
    if (!heard.empty()) {
      std::vector<maintenance::Heartbeat> all;
      for (auto& [name, b] : heard)
        all.push_back(b);
      heard.clear();
      append(beats(all));
      return;
    }
    if (auto next = order->next_entry(p.board, clock(p)))
      append(*next);
  }
  void elect() {
    for (std::size_t i = 0; i < people.size(); ++i) {
      if (!people[i].up || !people[i].reachable || i == leader)
        continue;
      leader = i;
      order.emplace(terms);
      heard.clear();
      led_from = log.size();
      return;
    }
  }
  void turn() {
    now += 5;
    for (auto& p : people) {
      if (p.up && p.reachable && below(random, 3) == 0)
        follow(p);
      if (p.up && below(random, 2) == 0)
        call(p);
      beat(p);
    }
    if (below(random, 4) == 0)
      lead();
    watch();
  }
  void disturb() {
    Person& p = people[below(random, people.size())];
    switch (below(random, 5)) {
      case 0:
        p.reachable = !p.reachable;
        break;
      case 1:
        if (p.up) {  // killed: its calls go on at the hosts
          p.up = false;
        } else {  // it has its log again, and a new life; all of it is read anew
          p.up = true;
          ++p.life;
          for (const auto& [host, until] : p.calls)
            p.earlier[host] = std::max(p.earlier[host], until);
          p.calls.clear();
          p.board = MaintenanceState();
          const std::size_t kept = p.follows;
          p.follows = 0;
          begin(p);
          for (; p.follows < kept; ++p.follows)
            p.board.apply(p.follows + 1, log[p.follows], clock(p));
        }
        break;
      default:
        break;
    }
    if (!people[leader].up || !people[leader].reachable || below(random, 6) == 0)
      elect();
    // As an operator would: what is out comes back.
    if (const auto out = truly_touched(); !out.empty() && below(random, 2) == 0)
      append(about<maintenance::ReturnToService>(
          *std::next(out.begin(), static_cast<std::ptrdiff_t>(below(random, out.size())))));
  }
  std::string run(int turns) {
    append(adds(work_of(hosts, 2)));
    for (int i = 0; i < turns && broken.empty(); ++i) {
      turn();
      if (i % 40 == 39)
        disturb();
    }
    return broken;
  }
};

TEST_CASE("no host may be touched while a member's call is there, whoever dies, is cut off or leads") {
  int touched = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Yard yard(seed, 3 + static_cast<int>(seed % 3) * 2, 8);
    INFO("seed " << seed);
    REQUIRE(yard.run(3000) == "");
    REQUIRE(yard.most_out <= 2);
    touched += yard.touched;
  }
  CHECK(touched > 100);
}

TEST_CASE("the check of touched hosts finds a member that ignores its lease, and one that does not drain") {
  int lease = 0, drain = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Yard one(seed, 3, 8);
    one.bug.ignores_lease = true;
    lease += one.run(3000).empty() ? 0 : 1;
    Yard other(seed, 3, 8);
    other.bug.ignores_drain = true;
    drain += other.run(3000).empty() ? 0 : 1;
  }
  CHECK(lease > 0);
  CHECK(drain > 0);
}

struct Table {
  MaintenanceState board;
  std::uint64_t index = 0;
  Millis now{1000};
  maintenance::ProposalOutcome apply(const LogEntry& e) { return board.apply(++index, e, now); }
  // One member that follows and has let go of what leaves.
  void follows(std::set<std::string> drained = {}, std::set<std::string> served = {}) {
    maintenance::Heartbeat b = beat_of("a", 1, index, 10);
    b.drained_hosts = std::move(drained);
    b.observations->served = std::move(served);
    apply(beats({b}));
  }
};

TEST_CASE("a host goes through its stages in their order, and bounds hold whoever proposes") {
  Table t;
  REQUIRE(t.apply(joins("a", 1)).done);
  t.follows();
  REQUIRE(t.apply(adds(work_of(6, 2))).done);
  CHECK(t.apply(about<maintenance::StartDrain>("h0", 0)).why == "host: h0 is waiting");
  REQUIRE(t.apply(names({"h0", "h1", "h2", "h3", "h4", "h5"})).done);
  const std::uint64_t named = t.index;
  CHECK(t.board.budget().hosts_in_progress() == 5);  // half of the ten that are listed stays out of reach
  CHECK_THAT(t.apply(about<maintenance::StartDrain>("h0", named)).why,
             Catch::Contains("member a does not know"));
  t.follows();
  CHECK(t.apply(about<maintenance::StartDrain>("h0", named - 1)).why == "host: h0 is named");
  REQUIRE(t.apply(about<maintenance::StartDrain>("h0", named)).done);
  const std::uint64_t taken = t.index;
  CHECK(t.board.hosts_to_avoid(true) == std::set<std::string>{"h0"});
  CHECK(t.board.hosts_to_avoid(false).size() == 5);
  REQUIRE(t.apply(about<maintenance::StartDrain>("h1", named)).done);
  CHECK_THAT(t.apply(about<maintenance::StartDrain>("h2", named)).why, Catch::Contains("2 hosts may be out"));
  CHECK(t.apply(about<maintenance::ReturnToService>("h0")).why == "host: h0 is leaving");
  REQUIRE(t.apply(about<maintenance::ReleaseToOperators>("h0", taken)).done);
  CHECK(t.apply(about<maintenance::ReleaseToOperators>("h0", taken)).why == "host: h0 is out");
  REQUIRE(t.apply(about<maintenance::ReturnToService>("h0")).done);
  CHECK_THAT(t.apply(about<maintenance::StartDrain>("h2", named)).why,
             Catch::Contains("2 hosts may be out"));  // it is cold
  REQUIRE(t.apply(about<maintenance::Complete>("h0")).done);
  REQUIRE(t.apply(about<maintenance::StartDrain>("h2", named)).done);
}

TEST_CASE("works share their bounds, zones and kinds have their own, and paused works take nothing") {
  Table t;
  t.apply(joins("a", 1));
  t.follows();
  MaintenanceJob first = work_of(4, 3), second = work_of(4, 3);
  first.bounds.max_out_per_zone = 1;
  second.id = "v";
  for (auto& h : second.hosts)
    h.id = "k" + h.id;
  second.bounds.max_out = 2;
  REQUIRE(t.apply(adds(first)).done);
  REQUIRE(t.apply(adds(second)).done);
  CHECK_THAT(t.apply(adds(first)).why, Catch::Contains("there is a work w already"));
  first.id = "u";
  CHECK_THAT(t.apply(adds(first)).why, Catch::Contains("h0 is in work w"));
  t.apply(names({"h0", "h1", "h2", "kh0", "kh1"}));
  const std::uint64_t named = t.index;
  t.follows();
  REQUIRE(t.apply(about<maintenance::StartDrain>("h0", named)).done);
  CHECK_THAT(t.apply(about<maintenance::StartDrain>("h2", named)).why, Catch::Contains("of zone east"));
  CHECK_THAT(t.apply(about<maintenance::StartDrain>("kh0", named)).why,
             Catch::Contains("of zone east"));  // the other's bound
  maintenance::ChangeJobState pause;
  pause.job = "v";
  pause.state = MaintenanceJob::State::paused;
  REQUIRE(t.apply({pause, {}, {}}).done);
  CHECK(t.apply(about<maintenance::StartDrain>("kh1", named)).why == "work: v is paused");
  pause.state = MaintenanceJob::State::running;
  REQUIRE(t.apply({pause, {}, {}}).done);
  REQUIRE(t.apply(about<maintenance::StartDrain>("kh1", named)).done);
  CHECK_THAT(t.apply(about<maintenance::StartDrain>("h1", named)).why,
             Catch::Contains("of zone west may be out at once by work w"));
  pause.job = "w";
  pause.state = MaintenanceJob::State::cancelled;
  REQUIRE(t.apply({pause, {}, {}}).done);  // nobody may touch h0 yet: it is used again
  CHECK(t.board.hosts_to_avoid(true) == std::set<std::string>{"kh1"});
  pause.state = MaintenanceJob::State::running;
  CHECK(t.apply({pause, {}, {}}).why == "work: w is cancelled");
}

TEST_CASE("what can never be met is refused with its key") {
  Table t;
  t.apply(joins("a", 1));
  t.follows();
  CHECK_THAT(t.apply(adds(work_of(2, 3))).why, Catch::StartsWith("out: "));
  CHECK_THAT(t.apply(adds(work_of(4, 1, 0.95))).why, Catch::StartsWith("usable: "));
  const auto faulty = [](const char* text) {
    try {
      maintenance::parse_job(nlohmann::json::parse(text));
    } catch (const std::invalid_argument& fault) {
      return std::string(fault.what());
    }
    return std::string("taken");
  };
  CHECK_THAT(faulty(R"({"id":"w","hosts":[["h","z","k"]],"bounds":{"out":0}})"), Catch::StartsWith("out: "));
  CHECK_THAT(faulty(R"({"id":"w","hosts":[["h","z","k"]],"bounds":{"usable":1.5}})"),
             Catch::StartsWith("usable: "));
  CHECK_THAT(faulty(R"({"id":"w","hosts":[]})"), Catch::StartsWith("hosts: "));
  CHECK_THAT(faulty(R"({"id":"w","hosts":[["h","",""],["h","",""]]})"),
             Catch::StartsWith("hosts: h stands twice"));
  CHECK_THAT(faulty(R"({"hosts":[["h","",""]]})"), Catch::StartsWith("id: "));
  CHECK(faulty(R"({"id":"w","hosts":[["h","z","k"]]})") == "taken");
}

TEST_CASE("a proposal that comes twice holds once, and its outcome can be asked for") {
  Table t;
  t.apply(joins("a", 1));
  t.follows();
  LogEntry add = adds(work_of(4, 1));
  add.proposal = "p1";
  REQUIRE(t.apply(add).done);
  REQUIRE(t.apply(add).done);  // else it would say that there is such a work already
  CHECK(t.board.jobs().size() == 1);
  REQUIRE(t.board.find_outcome("p1") != nullptr);
  for (int i = 0; i < 300; ++i) {
    LogEntry ask;
    ask.proposal = "q" + std::to_string(i);
    t.apply(ask);
  }
  CHECK(t.board.find_outcome("p1") == nullptr);  // the table is bounded
  CHECK(t.board.find_outcome("q299") != nullptr);
}

TEST_CASE("a board comes back whole from its snapshot, and nothing else is taken for one") {
  Yard yard(5, 3, 8);
  yard.run(2500);
  const MaintenanceState& before = yard.newest;
  MaintenanceState after;
  REQUIRE(after.restore(before.snapshot(), Millis(5)));
  CHECK(after.snapshot() == before.snapshot());
  Random random(3);
  const std::string whole = before.snapshot().dump();
  for (int i = 0; i < 300; ++i) {
    std::string spoilt = whole;
    for (int n = 0; n < 3; ++n)
      spoilt[below(random, spoilt.size())] = static_cast<char>(random());
    const auto read = nlohmann::json::parse(spoilt, nullptr, false);
    MaintenanceState other;
    if (!read.is_object() || !other.restore(read, Millis(0)))
      CHECK(other.jobs().empty());
    maintenance::parse_entry(spoilt);  // neither ends the process
  }
}

TEST_CASE("the one that leads names its reasons and waits for what holds up a work") {
  Table t;
  raft::LeaseTerms terms;
  maintenance::MaintenanceScheduler order(terms);
  t.apply(joins("a", 1));
  t.apply(joins("b", 1));
  MaintenanceJob w = work_of(4, 1);
  w.bounds.pause = Millis(5000);
  w.bounds.max_time_out = Millis(60000);
  t.apply(adds(w));
  const auto both = [&](double cost0, double cost1, std::set<std::string> down = {}, double lost = 0) {
    maintenance::Heartbeat a = beat_of("a", 1, t.index, 10), b = beat_of("b", 1, t.index, 10);
    a.observations->serving_value = {{"h0", cost0}, {"h1", cost1}};
    a.observations->down = std::move(down);
    a.observations->calls_per_second = 100;
    a.observations->failed_per_second = lost;
    t.apply(beats({a, b}));
  };
  const auto step = [&](const maintenance::Command& kind, const std::string& host) {
    const auto next = order.next_entry(t.board, t.now);
    REQUIRE(next);
    CHECK(maintenance::name_of(next->command) == std::string(maintenance::name_of(kind)));
    CHECK(host_of(next->command) == host);
    REQUIRE(t.apply(*next).done);
    return next->reason;
  };
  // Naming ahead is no step of a host's: it is followed at once.
  const auto idle = [&] {
    auto next = order.next_entry(t.board, t.now);
    for (; next && maintenance::holds<maintenance::SelectHosts>(*next);
         next = order.next_entry(t.board, t.now))
      t.apply(*next);
    return !next;
  };
  both(3, 1);
  step(maintenance::SelectHosts{}, "");
  CHECK(idle());
  CHECK_THAT(order.waiting_reasons().at("w"), Catch::Contains("does not follow"));
  both(3, 1, {"h9"});
  CHECK(idle());
  CHECK(order.waiting_reasons().at("w") == "host h9 is down unasked, says a");
  both(3, 1, {}, 30);
  CHECK(idle());
  CHECK_THAT(order.waiting_reasons().at("w"), Catch::StartsWith("service falls: 30%"));
  both(3, 1);
  CHECK_THAT(step(maintenance::StartDrain{}, "h1"), Catch::Contains("costs least now: 1 "));
  both(3, 1);
  CHECK(idle());
  CHECK_THAT(order.waiting_reasons().at("w"), Catch::Contains("still used, or may be, by a, b"));
  maintenance::Heartbeat a = beat_of("a", 1, t.index, 10);
  a.drained_hosts = {"h1"};
  t.apply(beats({a}));
  CHECK(idle());
  t.now += terms.presumed_dead_after() - Millis(1);  // b is silent, and its lease may still run
  t.apply(beats({a}));
  CHECK(idle());
  t.now += Millis(1);
  CHECK_THAT(step(maintenance::ReleaseToOperators{}, "h1"), Catch::Contains("leases have run out of b"));
  t.now += Millis(60001);
  both(3, 1);
  CHECK_THAT(step(maintenance::Overdue{}, "h1"), Catch::Contains("longer than 60 s"));
  CHECK(idle());
  CHECK_THAT(order.waiting_reasons().at("w"), Catch::Contains("h1"));
  REQUIRE(t.apply(about<maintenance::ReturnToService>("h1")).done);
  CHECK(idle());  // it has not served yet
  t.follows({}, {"h1"});
  CHECK(step(maintenance::Complete{}, "h1") == "it has served a call of a");
  both(3, 1);
  t.now += Millis(1000);
  CHECK(idle());
  CHECK_THAT(order.waiting_reasons().at("w"), Catch::StartsWith("a pause of 5 s"));
  t.now += Millis(4000);
  both(3, 1);
  step(maintenance::StartDrain{}, "h2");  // nothing is known to run there
}

TEST_CASE("a host is worth what it serves, and more where it serves a function alone") {
  maintenance::HostObserver watch;
  for (int i = 0; i < 100; ++i) {
    const Millis at(i * 100);
    watch.record_success("busy", 1, 1, at);
    watch.record_success("other", 1, 1, at);
    if (i % 2 == 0)
      watch.record_success("alone", 2, 1, at);
  }
  const Millis now(10000);
  CHECK(watch.serving_value("alone", now) > watch.serving_value("busy", now));
  CHECK(watch.serving_value("busy", now) == Approx(watch.serving_value("other", now)).epsilon(0.05));
  CHECK(watch.serving_value("unknown", now) == 0);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(watch.is_down("busy", now));
    watch.record_failure("busy", now);
  }
  CHECK(watch.is_down("busy", now));
  watch.record_success("busy", 1, 1, now);
  CHECK_FALSE(watch.is_down("busy", now));
  for (std::uint64_t f = 0; f < 3 * maintenance::HostObserver::kMaxFunctions; ++f)
    watch.record_success("busy", f, 1, now);
}

TEST_CASE("a work's course is read from the members' logs, and members that disagree are found") {
  const std::vector<std::string> lines = {
      "noise", "works at=1000 member=a term=1 index=7 take work=w host=h1 reason=\"its absence costs least\"",
      "works at=1010 member=b term=1 index=7 take work=w host=h1 reason=\"its absence costs least\"",
      "works at=1200 member=a term=1 index=9 touch work=w host=h1 reason=\"all members are done with it\"",
      "works at=1100 member=a term=1 index=8 calls asked=50 lost=2"};
  auto course = maintenance::parse_timeline(lines);
  REQUIRE(course.entries.size() == 2);
  CHECK(course.entries[0].members.size() == 2);
  CHECK(course.fault.empty());
  CHECK_THAT(maintenance::render_table(course), Catch::Contains("its absence costs least"));
  CHECK_THAT(maintenance::render_svg(course), Catch::Contains("h1 leaving") && Catch::EndsWith("</svg>\n"));
  auto other = lines;
  other.push_back("works at=1300 member=b term=1 index=9 touch work=w host=h2 reason=\"\"");
  CHECK_THAT(maintenance::parse_timeline(other).fault, Catch::Contains("index 9"));
}

}  // namespace
}  // namespace lotusyard::test
