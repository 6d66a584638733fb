// Decides what to do with a delivery of a call that must not run twice, by the durable record of the call. No
// I/O; times are passed in. The guarantee that no such call runs twice rests on these functions.
#pragma once

#include <optional>
#include <string>

#include "core/types.h"

namespace lotusyard::idempotency {

using core::Millis;

// How far a call has come. The values are stored: do not change them.
enum class ResultStage {
  sent = 1,      // an attempt may have run; recorded before its first byte is sent
  cleared = 2,   // no attempt that was sent has run
  answered = 3,  // the call has ended
  confirmed = 4  // and the broker holds its answer
};

struct ResultRecord {
  ResultStage stage = ResultStage::sent;
  core::Answer answer;   // from stage `answered` on
  Millis updated_at{0};  // wall-clock time of the last change
  std::string address;   // the reply address for which the broker holds the answer, from stage `confirmed` on
};

struct DeliveryFacts {
  bool redelivered = false;
  std::optional<Millis> published;  // by the publisher's clock, if it says so
};

// What can be concluded from a call that is not in the store.
struct StoreTrust {
  bool healthy = false;        // the lookup of the call succeeded
  bool sole_consumer = false;  // by configuration, no other process consumes these queues
  Millis complete_from{0};     // the store has a record of every call that was sent since then
  Millis now = Millis::max();  // by the clock that bounded complete_from
};

enum class Decision {
  run,                // it has not run
  answer,             // with the recorded answer
  fail_may_have_run,  // it cannot be shown that it has not run
  refuse_unrecorded   // the store cannot record it; retrying is safe
};

// A wall clock may be set by up to this much between two processes without a call running twice.
constexpr Millis kClockStep{3600e3};
// The difference between a publisher's clock and the store's clock that is tolerated.
constexpr Millis kClockSkew = kClockStep + Millis(60000);

// `known` is the record of the delivery's call, if the store has one.
Decision decide(const std::optional<ResultRecord>& known, const DeliveryFacts& arrival,
                const StoreTrust& trust);

// Whether a record may change from one stage to another; `from` is empty for a new record. A change that may
// not happen is a programming error, and must not be stored.
bool may_follow(const std::optional<ResultStage>& from, ResultStage to);

// Whether the record proves that the call has not run.
bool proves_not_run(const ResultRecord& record);

// Limits of a store.
struct Bounds {
  Millis max_age{7 * 24 * 3600e3};    // the greatest age of a record
  std::size_t max_records = 100000;   // records
  std::size_t max_bytes = 64U << 20;  // estimated
};
struct Size {
  std::size_t records = 0, bytes = 0;
};
// What has to be removed from a store. Records of stage `sent` protect calls from running twice: they are
// removed by age only.
struct Pruning {
  Millis older_than{0};    // all records that were last changed before
  std::size_t excess = 0;  // and this many of the oldest that have an answer
  bool full = false;       // the store is over its limits even then: no new call may be recorded
};
// `answered` is the number of records with an answer.
Pruning prune(const Size& size, std::size_t answered, const Bounds& bounds, Millis now);

// Bounds a mark such as StoreTrust::complete_from that was written earlier. A clock that was ahead may have
// written one that lies years ahead, so that no call could be shown not to have run until then.
Millis bounded_mark(Millis mark, Millis now);

}  // namespace lotusyard::idempotency
