// The front end for AMQP: deliveries of a broker are calls, and their answers are published to the queue that
// each delivery names.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "amqp/broker.h"
#include "amqp/channel.h"
#include "amqp/connection_supervisor.h"
#include "amqp/delivery_admission.h"
#include "amqp/delivery_cache.h"
#include "amqp/ref_sequence.h"
#include "amqp/reply_publisher.h"
#include "amqp/result_recorder.h"
#include "core/dispatcher.h"
#include "idempotency/result_store.h"
#include "metrics/counters.h"
#include "net/event_loop.h"

namespace lotusyard::amqp {

// The services that it is given must outlive it. It must outlive its calls in the dispatcher.
class FrontEnd final : public core::FrontEnd, private ChannelHandler {
 public:
  struct Limits {
    std::size_t open_calls = 256;              // further calls are rejected
    std::size_t remembered = 10000;            // answers in the cache
    std::size_t remembered_bytes = 16U << 20;  // of the answers in the cache
    bool sole_consumer = false;                // no other process consumes these queues
  };
  // `store` holds the results of calls that must not run twice. Without one only this process has them,
  // and a redelivered call that it has no record of is failed.
  FrontEnd(net::EventLoop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher,
           metrics::Counters& counters, const core::Settings& settings, Broker broker, Limits limits,
           idempotency::ResultStore* store = nullptr);

  void start() { connection_.connect(); }
  // Applies to the deliveries that follow; running calls keep their settings.
  void apply_settings(const core::Settings& settings) { settings_ = settings; }
  // Consumes nothing more; the calls that are running are answered.
  void drain() { connection_.drain(); }
  // Whether all answers that can be given on this connection are confirmed.
  bool done() const { return open_calls_.empty() && (!connection_.is_up() || publisher_.is_idle()); }
  void close() { connection_.close(); }

  void answer(core::CallId call, core::Answer&& answer) override;
  bool before_attempt(core::CallId call) override;
  void proved_not_run(core::CallId call) override;
  ClientState client_state(core::CallId call, core::Millis read_since) override;

 private:
  struct OpenCall {
    std::string call_key;
    bool non_idempotent = false;
    bool recorded = false;  // the store has a record of an attempt
  };

  void on_channel_open() override;
  void on_channel_closed(const CloseReason& reason) override;
  void on_delivery(Delivery&& delivery) override;
  void on_confirmation(const Confirmation& confirmation) override;

  // Returns true if the cache has the call, so that the delivery waits for its answer or has been answered.
  bool handle_by_cache(const PendingDelivery& pending);
  void join_running_call(CachedDelivery& cached, const PendingDelivery& pending);
  // Returns true if the delivery was answered by the durable record of its call, so that it must not run.
  bool answer_by_record(const PendingDelivery& pending, const Delivery& delivery);
  void handle_call(core::Call&& call, Delivery&& delivery, const PendingDelivery& pending);
  void handle_malformed(const Delivery& delivery, const PendingDelivery& pending);
  void begin_call(core::Call&& call, const PendingDelivery& pending, bool non_idempotent);
  // Answers the delivery and does not run its call. A status of `rejected` promises that a retry is harmless.
  void reject(const PendingDelivery& pending, Rejection rejection, bool non_idempotent);
  // Fails a non-idempotent call that may have run before this delivery.
  void fail_may_have_run(const PendingDelivery& pending);
  OpenCall* find_open_call(core::CallId call);

  net::EventLoop& loop_;
  core::Dispatcher& dispatcher_;
  metrics::Counters& counters_;
  core::Settings settings_;
  const Broker broker_;
  const Limits limits_;
  DeliveryCache delivery_cache_;
  ResultRecorder recorder_;
  ConnectionSupervisor connection_;
  ReplyPublisher publisher_;
  std::unordered_map<core::CallId, OpenCall> open_calls_;
  RefSequence refs_;
};

}  // namespace lotusyard::amqp
