// Keeps a connection to one of the brokers: connects, and connects again after the connection has ended.
#pragma once

#include <cstdint>
#include <memory>

#include "amqp/broker.h"
#include "amqp/channel.h"
#include "amqp/reconnect_policy.h"
#include "metrics/counters.h"
#include "net/event_loop.h"

namespace lotusyard::amqp {

// What it refers to must outlive it. The handler's on_channel_closed() is also called for each connection
// that could not be made; it must pass every end on to reconnect_later().
class ConnectionSupervisor {
 public:
  ConnectionSupervisor(net::EventLoop& loop, net::BufferPool& pool, metrics::Counters& counters,
                       const Broker& broker, ChannelHandler& handler, std::uint64_t seed)
      : loop_(loop),
        pool_(pool),
        counters_(counters),
        broker_(broker),
        handler_(handler),
        policy_(broker.addresses, seed) {}
  ~ConnectionSupervisor() { loop_.cancel(reconnect_timer_); }
  ConnectionSupervisor(const ConnectionSupervisor&) = delete;
  ConnectionSupervisor& operator=(const ConnectionSupervisor&) = delete;

  void connect();
  // Drops the channel and schedules the next connection, unless drain() was called. An end that an operator
  // has to resolve is logged.
  void reconnect_later(const CloseReason& reason);
  // Consumes nothing more, and does not connect again.
  void drain();
  // Closes the connection in an orderly way.
  void close();

  // The current channel; null between connections.
  Channel* channel() const { return channel_.get(); }
  bool is_up() const { return channel_ && channel_->is_up(); }
  // Queries the kernel whether the broker is still connected.
  bool is_connected() const;

 private:
  net::EventLoop& loop_;
  net::BufferPool& pool_;
  metrics::Counters& counters_;
  const Broker& broker_;
  ChannelHandler& handler_;
  ReconnectPolicy policy_;
  std::shared_ptr<Channel> channel_;
  net::EventLoop::TimerId reconnect_timer_{};
  bool draining_ = false;
};

}  // namespace lotusyard::amqp
