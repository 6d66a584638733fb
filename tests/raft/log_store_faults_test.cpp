// The log store on disks that fail: it holds what it acknowledged after every crash.
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "raft/libraft.h"
#include "raft/log_store.h"
#include "support/fault_vfs.h"
#include "support/random_input.h"

namespace lotusyard::test {
namespace {

using raft::LogStore;
using raft::LogStoreError;
using raft::StoredEntry;

// What a store has acknowledged.
struct Durable {
  std::uint64_t term = 0;
  std::uint64_t vote = 0;
  std::vector<std::string> log;

  bool operator==(const Durable& other) const {
    return term == other.term && vote == other.vote && log == other.log;
  }
};

Durable read_back(const LogStore& store) {
  Durable content{store.term(), store.vote(), {}};
  for (const auto& entry : store.entries())
    content.log.push_back(entry.data);
  return content;
}

// A random change; `next` is what the store holds after it.
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

struct CrashSchedule {
  std::uint64_t seed = 0;
  std::uint64_t crash_at = 0;  // the change of the disk at which it crashes; 0: at none
  Crash kind = Crash::process_killed;
  bool has_faults = false;
  bool ignores_syncs = false;  // the disk reports a sync before it is durable
};

// Changes a store until a crash; then the store holds what it acknowledged, or that with the one change that
// was rejected or in progress.
class CrashRun {
 public:
  explicit CrashRun(const CrashSchedule& schedule)
      : schedule_(schedule), disk_(vfs_.make_disk("d", schedule.seed)), random_(schedule.seed) {}

  // Returns the rule that was broken, or nothing.
  std::string run() {
    { LogStore store(kPath); }
    disk_.ignores_syncs = schedule_.ignores_syncs;
    disk_.crash_kind = schedule_.kind;
    disk_.crash_at = schedule_.crash_at == 0 ? 0 : disk_.changes() + schedule_.crash_at;
    const std::uint64_t changes_before = disk_.changes();
    change_until_crash();
    changes_ = disk_.changes() - changes_before;
    return violation_.empty() ? crash_and_check() : violation_;
  }
  // How often the disk was changed.
  std::uint64_t changes() const { return changes_; }

 private:
  static constexpr const char* kPath = "d:log";

  void change_until_crash() {
    try {
      LogStore store(kPath);
      for (int i = 0; i < 40 && !disk_.crashed() && violation_.empty(); ++i) {
        if (schedule_.has_faults)
          set_random_faults();
        change(store);
      }
    } catch (const LogStoreError& error) {
      check_transient(error);
    }
  }
  void set_random_faults() {
    FaultRates rates;
    rates.full = static_cast<unsigned>(below(random_, 60));
    rates.write_error = static_cast<unsigned>(below(random_, 60));
    rates.sync_error = static_cast<unsigned>(below(random_, 60));
    rates.read_error = static_cast<unsigned>(below(random_, 20));
    disk_.rates = rates;
  }
  void change(LogStore& store) {
    Durable next = acknowledged_;
    const auto change = random_change(random_, next);
    try {
      change(store);
      acknowledged_ = next;
      attempted_ = next;
    } catch (const LogStoreError& error) {
      check_transient(error);
      attempted_ = next;
      disk_.rates = FaultRates();
      if (!disk_.crashed() && violation_.empty())
        recover(store);
    }
  }
  void recover(LogStore& store) {
    store.recover();
    const Durable content = read_back(store);
    if (!(content == acknowledged_) && !(content == attempted_))
      violation_ = "holds what was never written";
    acknowledged_ = content;
    attempted_ = content;
  }
  void check_transient(const LogStoreError& error) {
    if (!error.transient())
      violation_ = std::string("damaged by a transient fault: ") + error.what();
  }
  std::string crash_and_check() {
    disk_.crash();
    disk_.restart();
    disk_.rates = FaultRates();
    Durable found;
    try {
      found = read_back(LogStore(kPath));
    } catch (const LogStoreError& error) {
      return error.what();
    }
    if (found == acknowledged_ || found == attempted_)
      return "";
    if (found.term < acknowledged_.term)
      return "the term goes back";
    return found.vote != acknowledged_.vote ? "a vote is forgotten" : "an entry is lost";
  }

  const CrashSchedule schedule_;
  FaultVfs vfs_;
  FaultDisk& disk_;
  Random random_;
  Durable acknowledged_;
  Durable attempted_;  // with the change that was rejected or in progress
  std::uint64_t changes_ = 0;
  std::string violation_;
};

TEST_CASE("log store: a crash at each write and sync in turn keeps what was acknowledged") {
  for (const Crash kind : {Crash::process_killed, Crash::power_lost}) {
    std::uint64_t crash_at = 1;
    std::uint64_t changes = 1;
    for (; changes + 1 >= crash_at; ++crash_at) {  // until the run ends before the crash
      INFO("crash at " << crash_at << (kind == Crash::power_lost ? ", power lost" : ", killed"));
      CrashRun crash_run({5, crash_at, kind});
      REQUIRE(crash_run.run() == "");
      changes = crash_run.changes();
    }
    CHECK(crash_at > 60);
  }
}

TEST_CASE("log store: 300 schedules of faults and a crash keep what was acknowledged") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    const std::uint64_t crash_at = seed % 3 == 0 ? 0 : 20 + seed % 90;
    const Crash kind = seed % 2 == 0 ? Crash::power_lost : Crash::process_killed;
    REQUIRE(CrashRun({seed, crash_at, kind, true}).run() == "");
  }
}

TEST_CASE("log store: the checker finds a disk that reports a sync before it is durable") {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    if (!CrashRun({seed, 0, Crash::power_lost, false, true}).run().empty())
      ++found;
  }
  CHECK(found > 10);
}

}  // namespace
}  // namespace lotusyard::test
