// The replicated log on disks that fail: no vote is forgotten, no term goes back, no acknowledged entry is
// lost, and every replica takes part again once its disk is well.
#include <algorithm>

#include "raft/replica_world.h"

namespace lotusyard::test {
namespace {

using raft::LogStore;
using raft::LogStoreError;
using raft::StoredEntry;

// ---- The store alone ----

struct Durable {  // what a store holds, by what it said
  std::uint64_t term = 0, vote = 0;
  std::vector<std::string> log;
  bool operator==(const Durable& o) const { return term == o.term && vote == o.vote && log == o.log; }
};

Durable read_back(const LogStore& store) {
  Durable out{store.term(), store.vote(), {}};
  for (const auto& entry : store.entries())
    out.log.push_back(entry.data);
  return out;
}

// One change at random; `next` is what the store holds once it is taken.
std::function<void(LogStore&)> random_change(Random& random, Durable& next) {
  switch (below(random, 5)) {
    case 0:
      ++next.term;
      next.vote = 0;
      return [term = next.term](LogStore& store) { store.set_term(term); };
    case 1:
      if (next.vote == 0)
        next.vote = 1 + below(random, 3);
      return [vote = next.vote](LogStore& store) { store.set_vote(vote); };
    case 2: {
      const std::size_t keep = below(random, next.log.size() + 1);
      next.log.resize(keep);
      return [keep](LogStore& store) { store.truncate(keep + 1); };
    }
    default: {
      std::vector<StoredEntry> entries;
      for (std::size_t i = below(random, 4) + 1; i > 0; --i) {
        entries.push_back({next.term, RAFT_COMMAND, std::to_string(random()) + std::string(900, 'e')});
        next.log.push_back(entries.back().data);
      }
      return [entries](LogStore& store) { store.append(entries); };
    }
  }
}

// Changes until a crash, with faults or without; then what the store holds is what it said, or that and the
// one change that it refused or was at.
std::string run_store(std::uint64_t seed, std::uint64_t crash_at, Crash kind, bool faults, bool lies = false,
                      std::uint64_t* changes = nullptr) {
  FaultVfs vfs;
  FaultDisk& disk = vfs.make_disk("d", seed);
  Random random(seed);
  Durable said, tried;
  { LogStore store("d:log"); }
  disk.sync_lies = lies;
  disk.crash_kind = kind;
  disk.crash_at = crash_at == 0 ? 0 : disk.changes() + crash_at;
  const std::uint64_t before = disk.changes();
  try {
    LogStore store("d:log");
    for (int i = 0; i < 40 && !disk.crashed(); ++i) {
      if (faults)
        disk.rates = {unsigned(below(random, 60)),
                      unsigned(below(random, 60)),
                      unsigned(below(random, 60)),
                      unsigned(below(random, 20)),
                      0,
                      0};
      Durable next = said;
      const auto change = random_change(random, next);
      try {
        change(store);
        said = tried = next;
      } catch (const LogStoreError& fault) {
        if (!fault.transient())
          return std::string("damaged by trouble that passed: ") + fault.what();
        tried = next;
        disk.rates = FaultRates();
        if (disk.crashed())
          break;
        store.recover();
        if (!(read_back(store) == said) && !(read_back(store) == tried))
          return "holds what it never said";
        said = tried = read_back(store);
      }
    }
  } catch (const LogStoreError& fault) {
    if (!fault.transient())
      return std::string("damaged by trouble that passed: ") + fault.what();
  }
  if (changes != nullptr)
    *changes = disk.changes() - before;
  disk.crash();
  disk.restart();
  disk.rates = FaultRates();
  Durable found;
  try {
    found = read_back(LogStore("d:log"));
  } catch (const LogStoreError& fault) {
    return fault.what();
  }
  if (found == said || found == tried)
    return "";
  return found.term < said.term    ? "the term goes back"
         : found.vote != said.vote ? "a vote is forgotten"
                                   : "an entry is lost";
}

TEST_CASE("log store: a crash at each write and sync in turn keeps what was said") {
  for (const Crash kind : {Crash::process_killed, Crash::power_lost}) {
    std::uint64_t at = 1, seen = 1;
    for (; seen + 1 >= at; ++at) {  // until nothing is left to crash at
      INFO("crash at " << at << (kind == Crash::power_lost ? ", power lost" : ", killed"));
      REQUIRE(run_store(5, at, kind, false, false, &seen) == "");
    }
    CHECK(at > 60);
  }
}

TEST_CASE("log store: 300 schedules of faults and a crash keep what was said") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    REQUIRE(run_store(seed, seed % 3 == 0 ? 0 : 20 + seed % 90,
                      seed % 2 == 0 ? Crash::power_lost : Crash::process_killed, true) == "");
  }
}

TEST_CASE("log store: the checker finds a store that says it is durable before it is") {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed)
    found += run_store(seed, 0, Crash::power_lost, false, true).empty() ? 0 : 1;
  CHECK(found > 10);
}

// ---- Replicas ----

std::string run_group(std::uint64_t seed, bool lies = false) {
  ReplicaWorld world(seed);
  Random random(seed);
  for (auto& r : world.replicas)
    r.disk->sync_lies = lies;
  for (int i = 0; i < 60 && world.checker.broken.empty(); ++i) {
    world.propose();
    world.run(Millis(50));
    auto& r = world.replicas[below(random, ReplicaWorld::kReplicas)];
    if (below(random, 6) == 0)
      r.disk->rates = below(random, 2) == 0 ? FaultRates() : random_rates(random);
    if (below(random, 10) == 0)
      r.disk->is_full = !r.disk->is_full;
    if (below(random, 10) == 0)
      world.loss = static_cast<unsigned>(below(random, 20));
    if (below(random, 10) > 0)
      continue;
    r.disk->crash_kind = below(random, 2) == 0 || lies ? Crash::power_lost : Crash::process_killed;
    r.disk->crash_at = r.disk->changes() + 1 + below(random, 12);
  }
  world.end();
  return world.checker.broken;
}

TEST_CASE("replicas: no vote forgotten and no acknowledged entry lost over 200 schedules") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    REQUIRE(run_group(seed) == "");
  }
}

TEST_CASE("replicas: the checker finds disks that say they are durable before they are") {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed)
    found += run_group(seed, true).empty() ? 0 : 1;
  CHECK(found > 0);
}

TEST_CASE("replicas: a disk that is full for 10 s takes one out, and it comes back by itself") {
  ReplicaWorld world(3);
  world.run(Millis(2000));
  const auto leads = [](const auto& r) { return r.consensus->is_leader(); };
  auto* leader = std::find_if(std::begin(world.replicas), std::end(world.replicas), leads);
  REQUIRE(leader != std::end(world.replicas));
  leader->disk->is_full = true;
  leader->disk->rates.full = 1000;
  for (int i = 0; i < 200; ++i) {
    world.propose();
    world.run(Millis(50));
  }
  CHECK(leader->unavailable_times > 0);
  CHECK_FALSE(leader->consensus->is_leader());
  CHECK_FALSE(leader->consensus->is_available());
  CHECK_FALSE(leader->consensus->has_failed());
  CHECK(world.checker.acknowledged().size() > 150);  // the others go on
  world.end();
  CHECK(world.checker.broken == "");
}

TEST_CASE("replicas: all disks full for 10 s stop the group, which goes on by itself after") {
  ReplicaWorld world(4);
  world.run(Millis(2000));
  for (auto& r : world.replicas)
    r.disk->rates.full = 1000;
  for (int i = 0; i < 200; ++i) {
    world.propose();
    world.run(Millis(50));
  }
  CHECK(world.checker.acknowledged().empty());
  world.end();
  CHECK(world.checker.broken == "");
}

TEST_CASE("replicas: an instance that starts again over a snapshot applies nothing twice") {
  ReplicaWorld world(6);
  world.run(Millis(2000));
  for (int i = 0; i < 400; ++i) {
    for (int n = 0; n < 6; ++n)
      world.propose();
    if (i % 40 == 20)
      world.replicas[i / 40 % 3].disk->rates.sync_error = 400;
    if (i % 40 == 35)
      world.replicas[i / 40 % 3].disk->rates = FaultRates();
    world.run(Millis(20));
  }
  CHECK(std::any_of(std::begin(world.replicas), std::end(world.replicas),
                    [](const auto& r) { return r.store->snapshot_index() > 0; }));
  world.end();
  CHECK(world.checker.broken == "");
  CHECK(world.proposed > 1200);
  CHECK(world.checker.acknowledged().size() > 1200);
}

TEST_CASE("replicas: one whose disk fails for longer than the log reaches back is given a snapshot") {
  ReplicaWorld world(8);
  world.run(Millis(2000));
  auto& out = world.replicas[2];
  out.disk->rates.full = 1000;
  for (int i = 0; i < 400; ++i) {
    for (int n = 0; n < 6; ++n)
      world.propose();
    world.run(Millis(20));
  }
  CHECK(world.checker.acknowledged().size() > 1200);
  CHECK(out.store->snapshot_index() == 0);
  world.end();
  CHECK(world.checker.broken == "");
  CHECK(out.store->snapshot_index() > 0);
}

}  // namespace
}  // namespace lotusyard::test
