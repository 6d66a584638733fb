// Shares of the slow-start quota, in a simulation in which members apply one log at different times: the
// shares must never add up to more than 1, whichever members are isolated, stopped, restarted or elected.
#include <rapidcheck.h>

#include <deque>

#include "catch2/catch.hpp"
#include "quota/epoch_planner.h"
#include "quota/log_entry_codec.h"
#include "quota/quota_epochs.h"
#include "support/fault_injection.h"

namespace lotusyard::test {
namespace {

using quota::LogEntry;
using quota::Millis;
using quota::QuotaEpochs;

struct SimulatedFleet {
  struct Member {
    std::string name;
    std::uint64_t incarnation = 1;
    QuotaEpochs epochs;
    std::size_t applied = 0;
    std::optional<raft::Lease> lease;
    bool running = true, isolated = false;
    double clock_rate = 1;
  };
  // A record of the log: a quota entry, or the heartbeats that the leader has collected.
  struct LogRecord {
    std::optional<LogEntry> entry;
    // By member: its incarnation and the sending time by its own clock.
    std::map<std::string, std::pair<std::uint64_t, double>> heartbeats;
    std::map<std::string, std::size_t> applied;
  };
  std::mt19937_64 random;
  raft::LeaseTerms terms;
  std::vector<Member> members;
  std::deque<LogRecord> log;
  std::size_t leader = 0, leads_from = 0, leader_read_to = 0;
  std::map<std::string, quota::HolderProgress> progress;  // as of the leader's last reading of the log
  Millis epoch_began_at{0};
  double now = 1000;
  double max_sum = 0;

  SimulatedFleet(std::uint64_t seed, int count) : random(seed) {
    terms.lease = Millis(1000);
    terms.max_attempt_time = Millis(300);
    for (int i = 0; i < count; ++i) {
      Member member;
      member.name = std::string(1, static_cast<char>('a' + i));
      // The rates of any two differ by at most 1%.
      member.clock_rate = 1 + (static_cast<double>(random() % 201) - 100) / 20000;
      member.lease.emplace(terms, clock(member));
      members.push_back(std::move(member));
    }
  }
  Millis clock(const Member& member) const { return Millis(now * member.clock_rate); }
  void apply_log(Member& member) {
    for (; member.applied < log.size(); ++member.applied) {
      const LogRecord& record = log[member.applied];
      if (record.entry)
        member.epochs.apply(member.applied + 1, *record.entry);
      const auto own = record.heartbeats.find(member.name);
      if (own != record.heartbeats.end() && own->second.first == member.incarnation)
        member.lease->renew(own->second.second);
    }
  }
  void lead() {
    Member& member = members[leader];
    if (!member.running || member.isolated)
      return;
    apply_log(member);
    for (std::size_t i = std::exchange(leader_read_to, member.applied); i < member.applied; ++i) {
      if (log[i].entry && std::holds_alternative<quota::BeginEpoch>(*log[i].entry))
        epoch_began_at = clock(member);
      for (const auto& [name, heartbeat] : log[i].heartbeats)
        progress[name] = {heartbeat.first, log[i].applied.at(name), clock(member)};
    }
    LogRecord record;
    for (const auto& other : members) {
      if (!other.running || other.isolated || random() % 3 == 0)
        continue;
      record.heartbeats[other.name] = {other.incarnation, clock(other).count()};
      record.applied[other.name] = other.applied;
    }
    log.push_back(std::move(record));
    if (member.applied < leads_from)
      return;
    if (const auto entry = quota::next_entry(member.epochs, progress, terms, epoch_began_at, clock(member)))
      log.push_back({quota::parse_entry(quota::encode_entry(*entry)), {}, {}});
  }
  void elect() {
    const std::size_t next = random() % members.size();
    if (!members[next].running || members[next].isolated)
      return;
    leader = next;
    leads_from = log.size();
    for (auto& [name, known] : progress)
      known.last_heartbeat_at = clock(members[next]);  // earlier heartbeats count as received now
    epoch_began_at = clock(members[next]);
  }
  void disturb() {
    Member& member = members[random() % members.size()];
    switch (random() % 4) {
      case 0:
        member.isolated = !member.isolated;
        break;
      case 1:
        member.running = !member.running;
        if (!member.running)
          break;
        ++member.incarnation;
        member.epochs = QuotaEpochs();
        member.applied = 0;
        member.lease.emplace(terms, clock(member));
        break;
      case 2:
        elect();
        break;
      default:
        break;
    }
    if (!members[leader].running || members[leader].isolated)
      elect();
  }
  double sum_of_shares(std::size_t members_seen) {
    double out = 0;
    for (const auto& member : members) {
      if (member.running)
        out += member.epochs.share_of(member.name, member.incarnation, member.lease->is_held(clock(member)),
                                      member.isolated ? 1 : members_seen);
    }
    return out;
  }
  // Returns the largest sum of shares at any time.
  double run(int iterations) {
    for (int i = 0; i < iterations; ++i) {
      now += 20;
      if (i % 12 == 0)
        lead();
      for (auto& member : members) {
        if (member.running && !member.isolated && random() % 4 == 0)
          apply_log(member);
      }
      if (i % 60 == 59)
        disturb();
      max_sum = std::max(max_sum, sum_of_shares(1));
    }
    return max_sum;
  }
};

double largest_sum(int seeds) {
  double out = 0;
  for (int seed = 1; seed <= seeds; ++seed)
    out = std::max(out, SimulatedFleet(static_cast<std::uint64_t>(seed), 3 + seed % 6).run(3000));
  return out;
}

TEST_CASE("the shares of all members never exceed 1 over isolation, stops, restarts and elections") {
  CHECK(largest_sum(400) <= 1 + 1e-9);
}

TEST_CASE("the check detects shares without a lease, without confirmation, or by the own view alone") {
  for (const char* rule : {"share-lease", "share-unheard", "share-view"}) {
    INFO(rule);
    FaultInjection::Scope fault(rule);
    CHECK(largest_sum(60) > 1 + 1e-6);
  }
}

TEST_CASE("without faults each member has an equal share, which shrinks if it observes more members") {
  SimulatedFleet fleet(5, 4);
  for (int i = 0; i < 2000; ++i) {
    fleet.now += 20;
    if (i % 12 == 0)
      fleet.lead();
    for (auto& member : fleet.members)
      fleet.apply_log(member);
  }
  CHECK(fleet.sum_of_shares(4) == Approx(1));
  const auto& member = fleet.members[1];
  CHECK(member.epochs.share_of("b", 1, true, 4) == Approx(0.25));
  CHECK(member.epochs.share_of("b", 1, true, 8) == Approx(0.125));
  CHECK(member.epochs.share_of("b", 1, true, 1) == Approx(0.25));
  CHECK(member.epochs.share_of("b", 2, true, 4) == 0);  // another incarnation
  CHECK(member.epochs.share_of("b", 1, false, 4) == 0);
  QuotaEpochs restored;
  REQUIRE(restored.restore(member.epochs.snapshot()));
  CHECK(restored.share_of("b", 1, true, 4) == Approx(0.25));
  CHECK_FALSE(restored.restore(nlohmann::json::array()));
  CHECK_FALSE(quota::parse_entry("{\"t\":\"other\"}"));
}

}  // namespace
}  // namespace lotusyard::test
