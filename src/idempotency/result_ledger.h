// Decides how to handle a delivery of a call that must not run twice, by the durable record of the call. The
// guarantee that no such call runs twice depends on these functions. Does no I/O; times are passed in.
#pragma once

#include <optional>
#include <string>

#include "core/types.h"

namespace lotusyard::idempotency {

using core::Millis;

// The progress of a call. The values are stored: do not change them.
enum class ResultStage {
  sent = 1,      // an attempt may have run; recorded before its first byte is sent
  cleared = 2,   // no attempt that was sent has run
  answered = 3,  // the call has ended
  confirmed = 4  // the broker has confirmed that it holds the call's answer
};

struct ResultRecord {
  ResultStage stage = ResultStage::sent;
  core::Answer answer;   // from stage `answered` on
  Millis updated_at{0};  // wall-clock time of the last change
  std::string address;   // the reply address for which the broker holds the answer, from stage `confirmed` on
};

struct DeliveryFacts {
  bool redelivered = false;
  std::optional<Millis> published;  // publication time by the publisher's clock, if stated
  bool same_publication = false;    // it is of the publication to which the known answer was given
};

// What determines whether a call without a record can be assumed not to have run.
struct StoreTrust {
  bool healthy = false;        // the lookup of the call succeeded
  bool sole_consumer = false;  // by configuration, no other process consumes from these queues
  Millis complete_from{0};     // the store has a record of every call that was sent since then
  Millis now = Millis::max();  // by the clock that bounded complete_from
};

enum class Decision {
  run,                // the call has not run
  answer,             // respond with the recorded answer
  fail_may_have_run,  // it cannot be proven that the call has not run
  refuse_unrecorded   // the store cannot record the call; a retry is safe
};

// A wall clock may be stepped by up to this much between two processes without a call running twice.
constexpr Millis kClockStep{3600e3};
// The tolerated difference between a publisher's clock and the store's clock.
constexpr Millis kClockSkew = kClockStep + Millis(60000);

// Decides on a delivery of a call that was rejected without having run. That proves something only of the
// publications that this process has received. Their client was told that it may publish the message again,
// and another consumer may have run that publication before it is redelivered to this process.
Decision decide_after_rejection(const DeliveryFacts& delivery, bool sole_consumer);

// `known` is the record of the delivery's call, if the store has one.
Decision decide(const std::optional<ResultRecord>& known, const DeliveryFacts& delivery,
                const StoreTrust& trust);

// Whether a record may change from one stage to another; `from` is empty for a new record. Any other change
// is a programming error and must not be stored.
bool may_follow(const std::optional<ResultStage>& from, ResultStage to);

// Whether the record proves that the call had not run when the record was written.
bool proves_not_run(const ResultRecord& record);

// Limits of a store.
struct Bounds {
  Millis max_age{7 * 24 * 3600e3};
  std::size_t max_records = 100000;
  std::size_t max_bytes = 64U << 20;  // estimated
};
struct Size {
  std::size_t records = 0, bytes = 0;
};
// Which records have to be removed from a store. Records of stage `sent` prevent calls from running twice:
// they are removed by age only.
struct Pruning {
  Millis older_than{0};    // removes all records that were last changed before this time,
  std::size_t excess = 0;  // and this many of the oldest ones with an answer
  bool full = false;       // the store is over its limits even after that: no new call may be recorded
};
// `answered` is the number of records with an answer.
Pruning prune(const Size& size, std::size_t answered, const Bounds& bounds, Millis now);

// Limits a stored time such as StoreTrust::complete_from. A clock that was ahead may have produced one that
// is years in the future; until then no call could be proven not to have run.
Millis bounded_mark(Millis mark, Millis now);

}  // namespace lotusyard::idempotency
