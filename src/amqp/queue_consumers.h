// The consumers of a channel, one for each queue.
#pragma once

#include <cstddef>
#include <string>

#include "amqp/broker.h"
#include "amqp/method_sender.h"

namespace lotusyard::amqp {

// `broker` and `sender` must outlive it.
class QueueConsumers {
 public:
  QueueConsumers(const Broker& broker, MethodSender& sender) : broker_(broker), sender_(sender) {}

  void start_all();
  // The broker has confirmed a consumer; true if it was the last one of those that start_all() has started.
  bool confirm() { return ++confirmed_ == broker_.queues.size(); }
  // Starts a consumer again that the broker has cancelled because its queue was deleted or moved. A queue
  // that the topology creates is declared again.
  void restart(const std::string& consumer_tag);
  // Cancels all consumers: the broker delivers nothing more.
  void cancel_all();

 private:
  void start(std::size_t queue);

  const Broker& broker_;
  MethodSender& sender_;
  std::size_t confirmed_ = 0;
};

}  // namespace lotusyard::amqp
