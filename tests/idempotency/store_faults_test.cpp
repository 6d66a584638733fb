// The store of answers on a disk that fails: what it took on is found again, and no call runs twice, whatever
// write or sync fails, lies or is the last one before a crash.
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>

#include "idempotency/sqlite_result_store.h"
#include "support/fault_vfs.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

using namespace idempotency;
using core::CallStatus;

constexpr double kStart = 1e12;
constexpr Millis kStep{20};

// What clients of one store may expect, over all its processes. A call's run is counted when its attempt goes
// out, which only a `sent` that the store took permits.
class History {
 public:
  struct Call {
    int runs = 0;
    bool answered = false;                   // the store took its answer
    std::optional<ResultStage> kept, tried;  // the last change that it took, and a later one that it refused
  };

  Call& operator[](const std::string& id) { return calls_[id]; }
  const std::string& broken() const { return broken_; }
  void fault(const std::string& what) {
    if (broken_.empty())
      broken_ = what;
  }
  // After a crash every call stands where the store took it to, or one refused change further.
  void check(const std::string& id, const std::optional<ResultRecord>& found) {
    const Call& call = calls_[id];
    const std::optional<ResultStage> stage = found ? std::optional<ResultStage>(found->stage) : std::nullopt;
    if (stage != call.kept && stage != call.tried)
      fault("lost what was taken of " + id);
    if (call.answered && (!found || found->answer.body != "answer of " + id))
      fault("lost answer of " + id);
  }
  const std::map<std::string, Call>& calls() const { return calls_; }

 private:
  std::map<std::string, Call> calls_;
  std::string broken_;
};

// One store after the other over one disk, and a broker that delivers calls again and again.
class Rig {
 public:
  explicit Rig(std::uint64_t seed) : disk(vfs.make_disk("d", seed)), random_(seed) {}

  FaultVfs vfs;
  FaultDisk& disk;
  metrics::Counters counters;
  History history;
  Millis clock{0};
  std::unique_ptr<SqliteResultStore> store;

  void open() {
    store = std::make_unique<SqliteResultStore>(
        "d:answers", Bounds(), Millis(kStart), counters, [](const std::string&) {}, [this] { return clock; });
  }
  void crash() {
    disk.crash();
    store.reset();
    disk.restart();
  }
  bool put(const std::string& id, ResultStage stage) {
    ResultRecord record;
    record.stage = stage;
    record.at = Millis(kStart) + clock;
    if (stage >= ResultStage::answered)
      record.answer = {CallStatus::succeeded, Millis(0), "answer of " + id};
    const bool taken = store->put(id, record);
    auto& call = history[id];
    if (taken) {
      call.kept = stage;
      call.tried.reset();
      call.answered = call.answered || stage >= ResultStage::answered;
    } else {
      call.tried = stage;
    }
    return taken;
  }
  // One delivery, as the front treats it.
  void deliver(const std::string& id) {
    std::optional<ResultRecord> known;
    auto& call = history[id];
    StoreTrust trust;
    trust.healthy = store->find(id, known);
    trust.complete_from = store->complete_from();
    const DeliveryFacts arrival{call.runs > 0 || call.kept.has_value(), std::nullopt};
    if (decide(known, arrival, trust) != Decision::run || !put(id, ResultStage::sent))
      return;
    if (++call.runs > 1)
      history.fault("second run of " + id);
    if (below(random_, 4) == 0)
      return;  // its answer never comes
    if (put(id, ResultStage::answered) && below(random_, 2) == 0)
      put(id, ResultStage::confirmed);
  }
  void step() {
    clock += kStep;
    deliver("call" + std::to_string(below(random_, 12)));
  }
  // With a disk that is well again the store takes all, and has kept all.
  void end() {
    disk.rates = FaultRates();
    disk.is_full = false;
    clock += sqlite::Backoff::kLongest;
    if (!store)
      open();
    for (const auto& [id, call] : history.calls()) {
      std::optional<ResultRecord> found;
      if (!store->find(id, found))
        return history.fault("still not available");
      history.check(id, found);
    }
    if (store->is_damaged())
      history.fault("damaged by trouble that passed");
    if (!put("last", ResultStage::sent))
      history.fault("takes nothing though the disk is well");
  }

 private:
  Random random_;
};

std::string run_with_crash_at(std::uint64_t change, Crash kind, std::uint64_t* changes = nullptr,
                              bool lies = false) {
  Rig rig(change);
  rig.disk.crash_at = change;
  rig.disk.crash_kind = kind;
  rig.disk.ignores_syncs = lies;
  rig.open();
  for (int i = 0; i < 25 && !rig.disk.crashed(); ++i)
    rig.step();
  rig.store.reset();  // what is folded back at the end is written and synced, too
  if (changes != nullptr)
    *changes = rig.disk.changes();
  rig.crash();
  rig.open();
  rig.end();
  return rig.history.broken();
}

TEST_CASE("answers: a crash at each write and sync in turn loses nothing that was taken") {
  for (const Crash kind : {Crash::process_killed, Crash::power_lost}) {
    std::uint64_t at = 1, seen = 1;
    for (; seen + 1 >= at; ++at) {  // until nothing is left to crash at
      INFO("crash at " << at << (kind == Crash::power_lost ? ", power lost" : ", killed"));
      REQUIRE(run_with_crash_at(at, kind, &seen) == "");
    }
    CHECK(at > 60);
  }
}

std::string run_schedule(std::uint64_t seed, bool lies = false) {
  Random random(seed);
  Rig rig(seed);
  rig.disk.ignores_syncs = lies;
  rig.disk.rates = random_rates(random);
  rig.open();
  for (int i = 0; i < 60 && rig.history.broken().empty(); ++i) {
    rig.step();
    if (below(random, 12) == 0)
      rig.disk.is_full = !rig.disk.is_full;
    if (below(random, 12) == 0)
      rig.disk.rates = random_rates(random);
    if (below(random, 20) > 0)
      continue;
    rig.disk.crash_kind = below(random, 2) == 0 ? Crash::process_killed : Crash::power_lost;
    rig.crash();
    rig.open();
  }
  rig.end();
  return rig.history.broken();
}

TEST_CASE("answers: no second run and no lost answer over 300 schedules of faults and crashes") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    REQUIRE(run_schedule(seed) == "");
  }
}

TEST_CASE("answers: the checker finds a store that says it is durable before it is") {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed)
    found += run_schedule(seed, true).empty() ? 0 : 1;
  CHECK(found > 10);
}

TEST_CASE("answers: a disk that is full for 10 s fails what is put, and nothing after") {
  Rig rig(3);
  rig.open();
  REQUIRE(rig.put("before", ResultStage::sent));
  rig.disk.is_full = true;
  int refused = 0;
  for (const Millis until = rig.clock + Millis(10000); rig.clock < until; rig.clock += kStep)
    refused += rig.put("during" + std::to_string(refused), ResultStage::sent) ? 0 : 1;
  CHECK(refused > 400);  // what fits into the log file as it is may still go in
  CHECK(rig.counters.value("answers.store_full") == static_cast<std::uint64_t>(refused));
  CHECK(rig.counters.value("answers.store_damaged") == 0);
  rig.disk.is_full = false;
  CHECK(rig.put("after", ResultStage::sent));
  rig.end();
  CHECK(rig.history.broken() == "");
}

TEST_CASE("answers: a store that cannot be opened at first opens itself later, with backoff") {
  Rig rig(4);
  rig.disk.rates.open_error = 1000;
  rig.open();
  CHECK_FALSE(rig.store->healthy());
  for (const Millis until = rig.clock + Millis(10000); rig.clock < until; rig.clock += kStep)
    CHECK_FALSE(rig.put("during", ResultStage::sent));
  const auto tries = rig.counters.value("answers.store_cannot_open");
  CHECK(tries >= 5);
  CHECK(tries <= 20);
  rig.disk.rates.open_error = 0;
  rig.clock += sqlite::Backoff::kLongest;
  CHECK(rig.put("after", ResultStage::sent));
  CHECK(rig.store->healthy());
  CHECK(rig.store->complete_from() == Millis(kStart));
}

TEST_CASE("answers: a store held by another process is taken over when that ends") {
  Rig rig(5);
  rig.open();
  REQUIRE(rig.put("mine", ResultStage::sent));
  auto first = std::move(rig.store);
  rig.open();
  CHECK_FALSE(rig.store->healthy());
  CHECK_FALSE(rig.store->is_damaged());
  CHECK(rig.counters.value("answers.store_busy") > 0);
  first.reset();
  rig.clock += sqlite::Backoff::kLongest;
  std::optional<ResultRecord> found;
  CHECK(rig.store->find("mine", found));
  CHECK(found.has_value());
}

TEST_CASE("answers: a file system that is read-only for a while is written to again afterwards") {
  Rig rig(6);
  rig.open();
  REQUIRE(rig.put("before", ResultStage::sent));
  rig.store.reset();
  rig.disk.is_read_only = true;
  rig.open();
  std::optional<ResultRecord> found;
  for (const Millis until = rig.clock + Millis(10000); rig.clock < until; rig.clock += kStep) {
    CHECK_FALSE(rig.put("during", ResultStage::sent));
    REQUIRE(rig.store->find("before", found));  // what stands can be looked for
    CHECK(found.has_value());
  }
  rig.disk.is_read_only = false;
  rig.clock += sqlite::Backoff::kLongest;
  CHECK(rig.put("after", ResultStage::sent));
}

}  // namespace
}  // namespace lotusyard::test
