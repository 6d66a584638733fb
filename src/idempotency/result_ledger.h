// What may be done with a delivery of a call that must not run twice, by what a store tells of it. No I/O;
// the clock is passed in. All of "never booked twice" is decided here.
#pragma once

#include <optional>
#include <string>

#include "core/types.h"

namespace lotusyard::idempotency {

using core::Millis;

// How far a call is known to have come. `sent` is written before its first byte can leave.
enum class ResultStage { sent = 1, cleared = 2, answered = 3, confirmed = 4 };

struct ResultRecord {
  ResultStage stage = ResultStage::sent;
  core::Answer answer;  // from `answered` on
  Millis at{0};         // of the last change
  std::string address;  // where the broker holds the answer, from `confirmed` on
};

struct DeliveryFacts {
  bool redelivered = false;
  std::optional<Millis> published;  // as its publisher says; absent: not said
};

struct StoreTrust {
  bool healthy = false;        // what was asked of the store was answered
  bool sole_consumer = false;  // the operator says that no other process consumes these queues
  Millis complete_from{0};     // all calls that went out since then stand in the store
  Millis now = Millis::max();  // by the clock that bounded this mark
};

enum class Decision {
  run,                // it has not run, and may go out
  answer,             // as the record says
  fail_may_have_run,  // nobody can show that it did not
  refuse_unrecorded   // the store cannot take what must be written first; trying again is harmless
};

// A clock may be set forwards or back by so much between two processes without a call running twice.
constexpr Millis kClockStep{3600e3};
// A publisher's clock and this store's may differ by so much before a publisher's word counts.
constexpr Millis kClockSkew = kClockStep + Millis(60000);

Decision decide(const std::optional<ResultRecord>& known, const DeliveryFacts& arrival,
                const StoreTrust& trust);

// Whether a change of stage keeps what the store has promised; one that does not is a fault of ours.
bool may_follow(const std::optional<ResultStage>& from, ResultStage to);

// The stage that a call has come to once its answer is known: a refusal proves that nothing ran.
bool proves_not_run(const ResultRecord& record);

// Bounds of a store, and what goes first when they are reached. What is `sent` is what the store is for: it
// goes last, and by age only.
struct Bounds {
  Millis longest{7 * 24 * 3600e3};
  std::size_t most = 100000;
  std::size_t most_bytes = 64U << 20;
};
struct Size {
  std::size_t records = 0, bytes = 0;
};
struct Pruning {
  Millis older_than{0};    // these go, whatever their stage
  std::size_t excess = 0;  // and so many of the oldest that have been answered
  bool full = false;       // what is left is too much all the same: nothing new is recorded
};
// From when on a store is complete that is told to be so from `mark` on. A clock that was ahead, and has been
// set right, may have written a mark that lies years ahead: until then no call could be shown not to have
// run.
Millis bounded_mark(Millis mark, Millis now);
Pruning prune(const Size& size, std::size_t answered, const Bounds& bounds, Millis now);

}  // namespace lotusyard::idempotency
