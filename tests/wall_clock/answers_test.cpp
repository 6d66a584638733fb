// The result store, opened by two processes one after the other whose wall clocks differ: no call runs
// twice, and none is rejected for ever.
#include "catch2/catch.hpp"
#include "idempotency/sqlite_result_store.h"
#include "metrics/counters.h"
#include "wall_clock/stepped_clock.h"

namespace lotusyard::test {
namespace {

using namespace idempotency;

constexpr Millis kTrueTime{1e12};  // what a correct clock reads when a test starts
constexpr Millis kMinute{60e3};
constexpr Millis kYear = 24 * 365 * kHour;

struct OpenedStore {
  OpenedStore(const ScratchFile& file, Millis now, const Bounds& bounds = {})
      : store(file.path, bounds, now, counters, [](const std::string&) {}) {}
  metrics::Counters counters;
  SqliteResultStore store;

  // The decision for a redelivered call that was published at `published`, when this is the only consumer.
  Decision decide_redelivered(const std::string& id, Millis published, Millis now = kTrueTime) {
    std::optional<ResultRecord> stored;
    StoreTrust trust;
    trust.healthy = store.find(id, stored);
    trust.sole_consumer = true;
    trust.complete_from = store.complete_from();
    trust.now = now;
    return decide(stored, {true, published}, trust);
  }
};

ResultRecord record(ResultStage stage, Millis at) {
  ResultRecord out;
  out.stage = stage;
  out.updated_at = at;
  return out;
}

TEST_CASE("a call that ran and whose record was pruned under a clock set back does not run again") {
  ScratchFile file("pruned");
  Bounds bounds;
  bounds.max_records = 1;
  OpenedStore(file, kTrueTime - 24 * kHour, bounds).store.prune(kTrueTime - 24 * kHour);
  // The clock is set back by an hour, and the next process writes by it.
  const Millis wrong_time = kTrueTime - kHour;
  OpenedStore opened(file, wrong_time, bounds);
  for (const char* id : {"booked", "other"}) {
    REQUIRE(opened.store.put(id, record(ResultStage::sent, wrong_time)));
    REQUIRE(
        opened.store.put(id, record(ResultStage::answered, wrong_time + Millis(id == std::string("other")))));
    opened.store.prune(wrong_time + Millis(2));
  }
  std::optional<ResultRecord> found;
  REQUIRE(opened.store.find("booked", found));
  REQUIRE_FALSE(found.has_value());
  CHECK(opened.decide_redelivered("booked", kTrueTime - Millis(10)) == Decision::fail_may_have_run);
}

TEST_CASE("a new store is not complete for earlier calls, whichever clock is wrong by an hour") {
  const Millis step = GENERATE(Millis(kHour), -1 * kHour);
  const bool publisher_is_wrong = GENERATE(false, true);
  ScratchFile file("new");
  // A call was sent shortly before, and the file with its record is lost.
  OpenedStore opened(file, publisher_is_wrong ? kTrueTime : kTrueTime + step);
  const Millis published = kTrueTime - Millis(10) + (publisher_is_wrong ? step : Millis(0));
  CHECK(opened.decide_redelivered("booked", published) == Decision::fail_may_have_run);
}

TEST_CASE("a store whose clock is set back or forwards between two processes keeps its records") {
  const Millis step = GENERATE(Millis(7000), Millis(-7000), kHour, -1 * kHour);
  ScratchFile file("retained");
  {
    OpenedStore opened(file, kTrueTime);
    REQUIRE(opened.store.put("sent", record(ResultStage::sent, kTrueTime)));
    REQUIRE(opened.store.put("booked", record(ResultStage::sent, kTrueTime)));
    REQUIRE(opened.store.put("booked", record(ResultStage::answered, kTrueTime)));
  }
  OpenedStore opened(file, kTrueTime + step);
  opened.store.prune(kTrueTime + step);
  CHECK(opened.decide_redelivered("sent", kTrueTime) == Decision::fail_may_have_run);
  CHECK(opened.decide_redelivered("booked", kTrueTime) == Decision::answer);
  CHECK(opened.decide_redelivered("before the store", kTrueTime - Millis(10)) == Decision::fail_may_have_run);
  // A call published two steps later cannot have been sent before, so it may run.
  CHECK(opened.decide_redelivered("young", kTrueTime + 2 * kHour + 2 * kMinute, kTrueTime + 3 * kHour) ==
        Decision::run);
}

TEST_CASE("a store created a year ahead is complete again two hours after its clock is corrected") {
  ScratchFile file("ahead");
  { OpenedStore opened(file, kTrueTime + kYear); }
  OpenedStore opened(file, kTrueTime);
  CHECK(opened.decide_redelivered("early", kTrueTime) == Decision::fail_may_have_run);
  CHECK(opened.decide_redelivered("young", kTrueTime + 2 * kHour + 2 * kMinute, kTrueTime + 3 * kHour) ==
        Decision::run);
}

TEST_CASE("a process whose clock is a year behind prunes nothing, and its store is complete for no call") {
  ScratchFile file("behind");
  {
    OpenedStore opened(file, kTrueTime);
    REQUIRE(opened.store.put("sent", record(ResultStage::sent, kTrueTime)));
  }
  {
    OpenedStore opened(file, kTrueTime - kYear);
    opened.store.prune(kTrueTime - kYear);
    CHECK(opened.decide_redelivered("sent", kTrueTime, kTrueTime - kYear) == Decision::fail_may_have_run);
    CHECK(opened.decide_redelivered("before the store", kTrueTime - kMinute, kTrueTime - kYear) ==
          Decision::fail_may_have_run);
  }
  OpenedStore opened(file, kTrueTime + kMinute);
  opened.store.prune(kTrueTime + kMinute);
  CHECK(opened.decide_redelivered("sent", kTrueTime, kTrueTime + kMinute) == Decision::fail_may_have_run);
  CHECK(opened.store.complete_from() == kTrueTime);
}

TEST_CASE("pruning a record stamped ahead does not move complete_from years ahead") {
  ScratchFile file("ahead-record");
  Bounds bounds;
  bounds.max_records = 1;
  OpenedStore opened(file, kTrueTime, bounds);
  // Written by the same process while its clock was ahead, before that was detected.
  REQUIRE(opened.store.put("a", record(ResultStage::answered, kTrueTime + kYear)));
  REQUIRE(opened.store.put("b", record(ResultStage::answered, kTrueTime + kYear + Millis(1))));
  opened.store.prune(kTrueTime);
  CHECK(opened.store.size() == 1);
  CHECK(opened.store.complete_from() <= kTrueTime + kHour);
}

}  // namespace
}  // namespace lotusyard::test
