// Publishes answers. A delivery is acknowledged only after the broker has confirmed its answer, so that no
// answer is lost with a connection.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "amqp/channel.h"
#include "amqp/connection_supervisor.h"
#include "amqp/delivery_cache.h"
#include "amqp/publication.h"
#include "amqp/result_recorder.h"
#include "core/types.h"
#include "metrics/counters.h"
#include "net/event_loop.h"

namespace lotusyard::amqp {

// A delivery that has to be answered and acknowledged.
struct PendingDelivery {
  std::string call_key;
  std::uint64_t tag = 0;
  Publication publication;
  bool redelivered = false;
};

// What it refers to must outlive it.
class ReplyPublisher {
 public:
  ReplyPublisher(net::EventLoop& loop, metrics::Counters& counters, const ConnectionSupervisor& connection,
                 DeliveryCache& cache, ResultRecorder& recorder)
      : loop_(loop), counters_(counters), connection_(connection), cache_(cache), recorder_(recorder) {}
  ~ReplyPublisher() { loop_.cancel(resend_timer_); }
  ReplyPublisher(const ReplyPublisher&) = delete;
  ReplyPublisher& operator=(const ReplyPublisher&) = delete;

  // Publishes the answer that the cache holds, once for each publication. To be called with an answer and a
  // channel only.
  void reply(const PendingDelivery& delivery);
  void on_confirmation(const Confirmation& confirmation);
  // Publishes what could not be published so far, as far as the broker allows it.
  void resend();
  // Drops all replies: the broker delivers the messages again, and reply() finds the answers in the cache.
  void on_channel_closed();
  // Whether all replies are confirmed.
  bool is_idle() const { return unconfirmed_.empty() && unsent_.empty(); }

 private:
  struct Reply {
    std::string call_key;
    Publication publication;
    std::shared_ptr<const core::Answer> answer;
    std::vector<std::uint64_t> delivery_tags;  // acknowledged once the reply is confirmed
  };

  // The reply with this answer that is not confirmed yet. One with an earlier answer to the same publication
  // may be pending too.
  Reply* find(const PendingDelivery& delivery, const std::shared_ptr<const core::Answer>& answer);
  void publish(Reply&& reply);
  std::vector<Reply> take_confirmed(const Confirmation& confirmation);
  void resend_later(Reply&& reply);
  void on_accepted(const Reply& reply);

  net::EventLoop& loop_;
  metrics::Counters& counters_;
  const ConnectionSupervisor& connection_;
  DeliveryCache& cache_;
  ResultRecorder& recorder_;
  std::map<std::uint64_t, Reply> unconfirmed_;  // by the number of the published message
  std::deque<Reply> unsent_;                    // refused by the broker, or it has paused publishing
  net::EventLoop::TimerId resend_timer_{};
};

}  // namespace lotusyard::amqp
