#include "amqp/connection_supervisor.h"

#include <iostream>
#include <utility>

#include "metrics/amqp_counters.h"

namespace lotusyard::amqp {

void ConnectionSupervisor::connect() {
  net::ConnectResult connection = net::connect_to(policy_.address());
  net::count_connect_error(loop_, connection);
  if (!connection)
    return handler_.on_channel_closed(CloseReason());
  channel_ =
      std::make_shared<Channel>(loop_, pool_, counters_, broker_, handler_, std::move(connection.socket));
}

void ConnectionSupervisor::reconnect_later(const CloseReason& reason) {
  // The channel may be on the call stack.
  if (channel_)
    loop_.delete_later(std::move(channel_));
  channel_.reset();
  loop_.cancel(reconnect_timer_);
  if (draining_)
    return;
  const ReconnectPlan plan = policy_.on_closed(reason);
  if (!plan.message.empty()) {
    counters_.add(metrics::kAmqpRefused);
    std::cerr << "lotusyard: amqp: " << plan.message << std::endl;
  }
  reconnect_timer_ = loop_.schedule_at(loop_.now() + plan.delay, [this] { connect(); });
}

void ConnectionSupervisor::drain() {
  draining_ = true;
  loop_.cancel(reconnect_timer_);
  if (channel_)
    channel_->stop_consuming();
}

void ConnectionSupervisor::close() {
  if (channel_)
    channel_->close();
}

bool ConnectionSupervisor::is_connected() const {
  return is_up() && channel_->peer_state() != net::PeerState::disconnected;
}

}  // namespace lotusyard::amqp
