// Decisions on deliveries of calls that must not run twice, by their records.
#include <catch2/catch.hpp>

#include "support/random_input.h"
#include "support/store_file.h"

namespace lotusyard::test {
namespace {

using namespace idempotency;
using core::CallStatus;

TEST_CASE("a redelivered call runs only if the store proves that it has not run") {
  StoreTrust trust;
  trust.healthy = true;
  const DeliveryFacts first_delivery, redelivery{true, std::nullopt};
  CHECK(decide(std::nullopt, first_delivery, trust) == Decision::run);
  CHECK(decide(std::nullopt, redelivery, trust) == Decision::fail_may_have_run);
  // A missing record proves that the call did not run only at the sole consumer, and only for calls published
  // late enough.
  trust.complete_from = Millis(kStoreNow);
  const DeliveryFacts late_publication{true, Millis(kStoreNow) + kClockSkew},
      early_publication{true, Millis(kStoreNow) + kClockSkew / 2};
  CHECK(decide(std::nullopt, late_publication, trust) == Decision::fail_may_have_run);
  trust.sole_consumer = true;
  CHECK(decide(std::nullopt, late_publication, trust) == Decision::run);
  CHECK(decide(std::nullopt, early_publication, trust) == Decision::fail_may_have_run);
  trust.healthy = false;
  CHECK(decide(std::nullopt, first_delivery, trust) == Decision::refuse_unrecorded);
  CHECK(decide(std::nullopt, late_publication, trust) == Decision::fail_may_have_run);
}

// What docs/durable-results.md says for each cell of its table. Guards against taking the proof that one
// delivery did not run as a proof about later publications of its message, which another consumer may have
// run.
Decision documented_decision(const ResultRecord& known, const DeliveryFacts& delivery, bool sole_consumer) {
  const bool may_have_run_elsewhere = delivery.redelivered && !sole_consumer;
  if (known.stage == ResultStage::sent)
    return Decision::fail_may_have_run;
  if (known.stage == ResultStage::cleared)
    return may_have_run_elsewhere ? Decision::fail_may_have_run : Decision::run;
  if (known.answer.status != CallStatus::rejected)
    return Decision::answer;
  if (!delivery.redelivered)
    return Decision::run;
  return may_have_run_elsewhere && !delivery.same_publication ? Decision::fail_may_have_run
                                                              : Decision::answer;
}

TEST_CASE(
    "each stage, answer and kind of delivery is decided as the table says, for sole and shared consumers") {
  int cells = 0;
  for (const auto stage :
       {ResultStage::sent, ResultStage::cleared, ResultStage::answered, ResultStage::confirmed}) {
    for (const auto status : {CallStatus::succeeded, CallStatus::rejected, CallStatus::failed}) {
      for (int bits = 0; bits < 8; ++bits) {
        DeliveryFacts delivery;
        delivery.redelivered = (bits & 1) != 0;
        delivery.same_publication = (bits & 2) != 0;
        StoreTrust trust;
        trust.healthy = true;
        trust.sole_consumer = (bits & 4) != 0;
        const ResultRecord known = record(stage, status);
        CAPTURE(static_cast<int>(stage), static_cast<int>(status), bits);
        CHECK(decide(known, delivery, trust) == documented_decision(known, delivery, trust.sole_consumer));
        ++cells;
      }
    }
  }
  CHECK(cells == 96);
}

// Calls are delivered, sent, executed or not, answered, confirmed and pruned in random order, by a process
// that is killed between any two steps. No call may run twice.
TEST_CASE("no sequence of deliveries, answers, kills and pruning runs a call twice") {
  Random random(11);
  for (int round = 0; round < 3000; ++round) {
    std::optional<ResultRecord> stored;
    StoreTrust trust{true, below(random, 2) == 0, Millis(0)};
    const Millis published(1e6);
    int runs = 0;
    bool open = false, may_have_run = false;
    for (int step = 0; step < 30; ++step) {
      const std::size_t event = below(random, 8);
      const auto write = [&](ResultStage to, CallStatus status = CallStatus::succeeded) {
        if (!may_follow(stored ? std::optional<ResultStage>(stored->stage) : std::nullopt, to))
          return false;
        stored = record(to, status);
        return true;
      };
      if (event < 3 && !open) {
        trust.healthy = below(random, 10) > 0;
        const DeliveryFacts delivery{step > 0, published};
        open = decide(stored, delivery, trust) == Decision::run;
        may_have_run = false;
      } else if (event < 5 && open && !may_have_run) {
        if (!write(ResultStage::sent))
          continue;
        if (below(random, 3) == 0)
          continue;  // killed or disconnected before it ran, which nobody can know
        const bool ran = below(random, 2) == 0;
        runs += ran;
        may_have_run = ran;
        if (!ran)
          write(ResultStage::cleared);
      } else if (event == 5 && open) {
        write(ResultStage::answered, may_have_run ? CallStatus::succeeded : CallStatus::rejected);
        open = false;
      } else if (event == 6) {
        write(ResultStage::confirmed);
      } else if (event == 7) {
        open = false;  // killed
        if (stored && below(random, 4) == 0) {
          stored.reset();  // pruned: the store has no complete record of earlier calls any more
          trust.complete_from = published + kClockSkew;
        }
      }
      REQUIRE(runs <= 1);
    }
  }
}

}  // namespace
}  // namespace lotusyard::test
