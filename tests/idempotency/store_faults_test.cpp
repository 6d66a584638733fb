// The result store on a faulty disk. Every record that the store accepted must be found later, and no call
// may run twice, whichever write or sync fails, is not durable, or is the last one before a crash.
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
constexpr Millis kStepInterval{20};

// Model of one store's content over all its processes. A run of a call is counted when its attempt is sent,
// which requires that the store has accepted the stage `sent`.
class History {
 public:
  struct Call {
    int runs = 0;
    bool answered = false;  // the store accepted its answer
    // The last change that the store accepted, and a later one that it refused.
    std::optional<ResultStage> stored, attempted;
  };

  Call& operator[](const std::string& id) { return calls_[id]; }
  const std::string& violation() const { return violation_; }
  void report_violation(const std::string& description) {
    if (violation_.empty())
      violation_ = description;
  }
  // After a crash, the record of a call has the last accepted stage, or the later one that was refused.
  void check(const std::string& id, const std::optional<ResultRecord>& found) {
    const Call& call = calls_[id];
    const std::optional<ResultStage> stage = found ? std::optional<ResultStage>(found->stage) : std::nullopt;
    if (stage != call.stored && stage != call.attempted)
      report_violation("lost an accepted record of " + id);
    if (call.answered && (!found || found->answer.body != "answer of " + id))
      report_violation("lost the answer of " + id);
  }
  const std::map<std::string, Call>& calls() const { return calls_; }

 private:
  std::map<std::string, Call> calls_;
  std::string violation_;
};

// Successive stores on one disk, and a broker that delivers calls repeatedly.
class StoreFixture {
 public:
  explicit StoreFixture(std::uint64_t seed) : disk(vfs.make_disk("d", seed)), random_(seed) {}

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
    record.updated_at = Millis(kStart) + clock;
    if (stage >= ResultStage::answered)
      record.answer = {CallStatus::succeeded, Millis(0), "answer of " + id};
    const bool is_stored = store->put(id, record);
    auto& call = history[id];
    if (is_stored) {
      call.stored = stage;
      call.attempted.reset();
      call.answered = call.answered || stage >= ResultStage::answered;
    } else {
      call.attempted = stage;
    }
    return is_stored;
  }
  // Handles one delivery as the AMQP front end does.
  void deliver(const std::string& id) {
    std::optional<ResultRecord> known;
    auto& call = history[id];
    StoreTrust trust;
    trust.healthy = store->find(id, known);
    trust.complete_from = store->complete_from();
    const DeliveryFacts delivery{call.runs > 0 || call.stored.has_value(), std::nullopt};
    if (decide(known, delivery, trust) != Decision::run || !put(id, ResultStage::sent))
      return;
    if (++call.runs > 1)
      history.report_violation("second run of " + id);
    if (below(random_, 4) == 0)
      return;  // never answered
    if (put(id, ResultStage::answered) && below(random_, 2) == 0)
      put(id, ResultStage::confirmed);
  }
  void step() {
    clock += kStepInterval;
    deliver("call" + std::to_string(below(random_, 12)));
  }
  // Once the disk works again, the store must have all accepted records and accept new ones.
  void check_all() {
    disk.rates = FaultRates();
    disk.is_full = false;
    clock += sqlite::Backoff::kMaxDelay;
    if (!store)
      open();
    for (const auto& [id, call] : history.calls()) {
      std::optional<ResultRecord> found;
      if (!store->find(id, found))
        return history.report_violation("still not available");
      history.check(id, found);
    }
    if (store->is_damaged())
      history.report_violation("damaged by a transient fault");
    if (!put("last", ResultStage::sent))
      history.report_violation("accepts no record on a working disk");
  }

 private:
  Random random_;
};

std::string run_with_crash_at(std::uint64_t crash_at, Crash kind, std::uint64_t* change_count = nullptr,
                              bool ignores_syncs = false) {
  StoreFixture fixture(crash_at);
  fixture.disk.crash_at = crash_at;
  fixture.disk.crash_kind = kind;
  fixture.disk.ignores_syncs = ignores_syncs;
  fixture.open();
  for (int i = 0; i < 25 && !fixture.disk.crashed(); ++i)
    fixture.step();
  fixture.store.reset();  // the final checkpoint also writes and syncs
  if (change_count != nullptr)
    *change_count = fixture.disk.changes();
  fixture.crash();
  fixture.open();
  fixture.check_all();
  return fixture.history.violation();
}

TEST_CASE("answers: a crash at each write and sync in turn loses no accepted record") {
  for (const Crash kind : {Crash::process_killed, Crash::power_lost}) {
    std::uint64_t at = 1, seen = 1;
    for (; seen + 1 >= at; ++at) {  // until there are no further writes or syncs
      INFO("crash at " << at << (kind == Crash::power_lost ? ", power lost" : ", killed"));
      REQUIRE(run_with_crash_at(at, kind, &seen) == "");
    }
    CHECK(at > 60);
  }
}

std::string run_schedule(std::uint64_t seed, bool ignores_syncs = false) {
  Random random(seed);
  StoreFixture fixture(seed);
  fixture.disk.ignores_syncs = ignores_syncs;
  fixture.disk.rates = random_rates(random);
  fixture.open();
  for (int i = 0; i < 60 && fixture.history.violation().empty(); ++i) {
    fixture.step();
    if (below(random, 12) == 0)
      fixture.disk.is_full = !fixture.disk.is_full;
    if (below(random, 12) == 0)
      fixture.disk.rates = random_rates(random);
    if (below(random, 20) > 0)
      continue;
    fixture.disk.crash_kind = below(random, 2) == 0 ? Crash::process_killed : Crash::power_lost;
    fixture.crash();
    fixture.open();
  }
  fixture.check_all();
  return fixture.history.violation();
}

TEST_CASE("answers: no second run and no lost answer over 300 schedules of faults and crashes") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    REQUIRE(run_schedule(seed) == "");
  }
}

TEST_CASE("answers: the check detects a store whose syncs return before the data is durable") {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed)
    found += run_schedule(seed, true).empty() ? 0 : 1;
  CHECK(found > 10);
}

TEST_CASE("answers: a disk that is full for 10 s fails the changes in that time, and none after") {
  StoreFixture fixture(3);
  fixture.open();
  REQUIRE(fixture.put("before", ResultStage::sent));
  fixture.disk.is_full = true;
  int refused = 0;
  for (const Millis until = fixture.clock + Millis(10000); fixture.clock < until;
       fixture.clock += kStepInterval)
    refused += fixture.put("during" + std::to_string(refused), ResultStage::sent) ? 0 : 1;
  CHECK(refused > 400);  // some changes may still fit into the existing log file
  CHECK(fixture.counters.value("answers.store_full") == static_cast<std::uint64_t>(refused));
  CHECK(fixture.counters.value("answers.store_damaged") == 0);
  fixture.disk.is_full = false;
  CHECK(fixture.put("after", ResultStage::sent));
  fixture.check_all();
  CHECK(fixture.history.violation() == "");
}

TEST_CASE("answers: a store that cannot be opened at first is opened later, with backoff") {
  StoreFixture fixture(4);
  fixture.disk.rates.open_error = 1000;
  fixture.open();
  CHECK_FALSE(fixture.store->healthy());
  for (const Millis until = fixture.clock + Millis(10000); fixture.clock < until;
       fixture.clock += kStepInterval)
    CHECK_FALSE(fixture.put("during", ResultStage::sent));
  const auto attempts = fixture.counters.value("answers.store_cannot_open");
  CHECK(attempts >= 5);
  CHECK(attempts <= 20);
  fixture.disk.rates.open_error = 0;
  fixture.clock += sqlite::Backoff::kMaxDelay;
  CHECK(fixture.put("after", ResultStage::sent));
  CHECK(fixture.store->healthy());
  CHECK(fixture.store->complete_from() == Millis(kStart));
}

TEST_CASE("answers: a store locked by another process can be used once that process ends") {
  StoreFixture fixture(5);
  fixture.open();
  REQUIRE(fixture.put("mine", ResultStage::sent));
  auto first = std::move(fixture.store);
  fixture.open();
  CHECK_FALSE(fixture.store->healthy());
  CHECK_FALSE(fixture.store->is_damaged());
  CHECK(fixture.counters.value("answers.store_busy") > 0);
  first.reset();
  fixture.clock += sqlite::Backoff::kMaxDelay;
  std::optional<ResultRecord> found;
  CHECK(fixture.store->find("mine", found));
  CHECK(found.has_value());
}

TEST_CASE("answers: a file system that was temporarily read-only is written to again") {
  StoreFixture fixture(6);
  fixture.open();
  REQUIRE(fixture.put("before", ResultStage::sent));
  fixture.store.reset();
  fixture.disk.is_read_only = true;
  fixture.open();
  std::optional<ResultRecord> found;
  for (const Millis until = fixture.clock + Millis(10000); fixture.clock < until;
       fixture.clock += kStepInterval) {
    CHECK_FALSE(fixture.put("during", ResultStage::sent));
    REQUIRE(fixture.store->find("before", found));  // lookups still work
    CHECK(found.has_value());
  }
  fixture.disk.is_read_only = false;
  fixture.clock += sqlite::Backoff::kMaxDelay;
  CHECK(fixture.put("after", ResultStage::sent));
}

}  // namespace
}  // namespace lotusyard::test
