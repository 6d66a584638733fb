// Records in a durable store the progress of calls that must not run twice, and decides by these records what
// to do with a delivery.
#pragma once

#include <optional>
#include <string>

#include "amqp/delivery.h"
#include "amqp/reply_address.h"
#include "core/types.h"
#include "idempotency/result_store.h"
#include "net/event_loop.h"

namespace lotusyard::amqp {

// What the store's record of a call means for a delivery of it.
struct RecordedDecision {
  idempotency::Decision decision = idempotency::Decision::run;
  std::optional<idempotency::ResultRecord> record;
};

// Without a store it is disabled: only record_answer_confirmed() may be called then. What it refers to must
// outlive it.
class ResultRecorder {
 public:
  // `sole_consumer`: no other process consumes the same queues. Starts to prune the store regularly.
  ResultRecorder(net::EventLoop& loop, idempotency::ResultStore* store, bool sole_consumer);
  ~ResultRecorder() { loop_.cancel(prune_timer_); }
  ResultRecorder(const ResultRecorder&) = delete;
  ResultRecorder& operator=(const ResultRecorder&) = delete;

  bool is_enabled() const { return store_ != nullptr; }
  RecordedDecision decide(const std::string& call_key, const Delivery& delivery, const ReplyAddress& address);
  // Returns false if the record could not be stored.
  bool record(const std::string& call_key, idempotency::ResultStage stage, const core::Answer& answer);
  // The call may have run at another consumer since it was rejected here: a record of that proves nothing
  // now, and is replaced by `answer`.
  void replace_rejection(const std::string& call_key, const core::Answer& answer);
  // The broker holds the call's answer for the address. Ignored if the store has no answer of the call.
  void record_answer_confirmed(const std::string& call_key, const ReplyAddress& address);

 private:
  void prune();

  net::EventLoop& loop_;
  idempotency::ResultStore* const store_;
  const bool sole_consumer_;
  net::EventLoop::TimerId prune_timer_{};
};

}  // namespace lotusyard::amqp
