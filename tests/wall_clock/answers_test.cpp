// The store of answers between two processes whose wall clocks differ: no call runs twice, and none is
// refused for ever.
#include "catch2/catch.hpp"
#include "idempotency/sqlite_result_store.h"
#include "metrics/counters.h"
#include "wall_clock/stepped_clock.h"

namespace lotusyard::test {
namespace {

using namespace idempotency;

constexpr Millis kTrue{1e12};  // what a right clock reads when a test begins
constexpr Millis kMinute{60e3};
constexpr Millis kYear = 24 * 365 * kHour;

struct Opened {
  Opened(const ScratchFile& file, Millis now, const Bounds& bounds = {})
      : store(file.path, bounds, now, counters, [](const std::string&) {}) {}
  metrics::Counters counters;
  SqliteResultStore store;

  // What is done with a call that comes again, published then, at the only consumer.
  Decision redelivered(const std::string& id, Millis published, Millis now = kTrue) {
    std::optional<ResultRecord> known;
    StoreTrust trust;
    trust.healthy = store.find(id, known);
    trust.sole_consumer = true;
    trust.complete_from = store.complete_from();
    trust.now = now;
    return decide(known, {true, published}, trust);
  }
};

ResultRecord record(ResultStage stage, Millis at) {
  ResultRecord out;
  out.stage = stage;
  out.updated_at = at;
  return out;
}

TEST_CASE("a call that ran and was forgotten under a clock set back does not run again") {
  ScratchFile file("forgotten");
  Bounds bounds;
  bounds.max_records = 1;
  Opened(file, kTrue - 24 * kHour, bounds).store.prune(kTrue - 24 * kHour);
  // The clock is set back by an hour, and the next process writes by it.
  const Millis wrong = kTrue - kHour;
  Opened opened(file, wrong, bounds);
  for (const char* id : {"booked", "other"}) {
    REQUIRE(opened.store.put(id, record(ResultStage::sent, wrong)));
    REQUIRE(opened.store.put(id, record(ResultStage::answered, wrong + Millis(id == std::string("other")))));
    opened.store.prune(wrong + Millis(2));
  }
  std::optional<ResultRecord> found;
  REQUIRE(opened.store.find("booked", found));
  REQUIRE_FALSE(found.has_value());
  CHECK(opened.redelivered("booked", kTrue - Millis(10)) == Decision::fail_may_have_run);
}

TEST_CASE(
    "a new store vouches for no call before it, whether its clock or the publisher's is wrong by an hour") {
  const Millis step = GENERATE(Millis(kHour), -1 * kHour);
  const bool publisher_is_wrong = GENERATE(false, true);
  ScratchFile file("new");
  // A call went out a moment ago, and the file that told of it is lost.
  Opened opened(file, publisher_is_wrong ? kTrue : kTrue + step);
  const Millis published = kTrue - Millis(10) + (publisher_is_wrong ? step : Millis(0));
  CHECK(opened.redelivered("booked", published) == Decision::fail_may_have_run);
}

TEST_CASE("a store whose clock is set back, or forwards, between two processes keeps what it knows") {
  const Millis step = GENERATE(Millis(7000), Millis(-7000), kHour, -1 * kHour);
  ScratchFile file("kept");
  {
    Opened opened(file, kTrue);
    REQUIRE(opened.store.put("sent", record(ResultStage::sent, kTrue)));
    REQUIRE(opened.store.put("booked", record(ResultStage::sent, kTrue)));
    REQUIRE(opened.store.put("booked", record(ResultStage::answered, kTrue)));
  }
  Opened opened(file, kTrue + step);
  opened.store.prune(kTrue + step);
  CHECK(opened.redelivered("sent", kTrue) == Decision::fail_may_have_run);
  CHECK(opened.redelivered("booked", kTrue) == Decision::answer);
  CHECK(opened.redelivered("before the store", kTrue - Millis(10)) == Decision::fail_may_have_run);
  // It may go on: what is published two steps later has not gone out.
  CHECK(opened.redelivered("young", kTrue + 2 * kHour + 2 * kMinute, kTrue + 3 * kHour) == Decision::run);
}

TEST_CASE("a store begun a year ahead vouches for calls again two hours after its clock is set right") {
  ScratchFile file("ahead");
  { Opened opened(file, kTrue + kYear); }
  Opened opened(file, kTrue);
  CHECK(opened.redelivered("early", kTrue) == Decision::fail_may_have_run);
  CHECK(opened.redelivered("young", kTrue + 2 * kHour + 2 * kMinute, kTrue + 3 * kHour) == Decision::run);
}

TEST_CASE("a process whose clock is a year behind forgets nothing, and vouches for no call") {
  ScratchFile file("behind");
  {
    Opened opened(file, kTrue);
    REQUIRE(opened.store.put("sent", record(ResultStage::sent, kTrue)));
  }
  {
    Opened opened(file, kTrue - kYear);
    opened.store.prune(kTrue - kYear);
    CHECK(opened.redelivered("sent", kTrue, kTrue - kYear) == Decision::fail_may_have_run);
    CHECK(opened.redelivered("before the store", kTrue - kMinute, kTrue - kYear) ==
          Decision::fail_may_have_run);
  }
  Opened opened(file, kTrue + kMinute);
  opened.store.prune(kTrue + kMinute);
  CHECK(opened.redelivered("sent", kTrue, kTrue + kMinute) == Decision::fail_may_have_run);
  CHECK(opened.store.complete_from() == kTrue);
}

TEST_CASE("forgetting a record stamped ahead leaves no mark years ahead") {
  ScratchFile file("mark");
  Bounds bounds;
  bounds.max_records = 1;
  Opened opened(file, kTrue, bounds);
  // Written by the same process before its clock was known to be wrong.
  REQUIRE(opened.store.put("a", record(ResultStage::answered, kTrue + kYear)));
  REQUIRE(opened.store.put("b", record(ResultStage::answered, kTrue + kYear + Millis(1))));
  opened.store.prune(kTrue);
  CHECK(opened.store.size() == 1);
  CHECK(opened.store.complete_from() <= kTrue + kHour);
}

}  // namespace
}  // namespace lotusyard::test
