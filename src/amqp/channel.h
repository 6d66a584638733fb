// A connection to a broker with one channel: receives deliveries, and publishes messages that the broker
// confirms.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "amqp/broker.h"
#include "amqp/channel_setup.h"
#include "amqp/content_assembler.h"
#include "amqp/heartbeat.h"
#include "amqp/method_sender.h"
#include "amqp/protocol_error.h"
#include "amqp/queue_consumers.h"
#include "amqp/reconnect_policy.h"
#include "metrics/counters.h"
#include "net/buffered_connection.h"

namespace lotusyard::amqp {

// Whether the broker has accepted a published message.
enum class ConfirmKind { ack, nack };

// The broker's answer to published messages: to the one with this number, or to all up to it.
struct Confirmation {
  ConfirmKind kind = ConfirmKind::ack;
  std::uint64_t number = 0;
  bool multiple = false;
};

// The user of a Channel.
class ChannelHandler {
 public:
  virtual ~ChannelHandler() = default;
  // Messages can be published: the handshake is complete, or a pause that the broker asked for has ended.
  virtual void on_channel_open() = 0;
  virtual void on_delivery(Delivery&& delivery) = 0;
  virtual void on_confirmation(const Confirmation& confirmation) = 0;
  // Called once, last.
  virtual void on_channel_closed(const CloseReason& reason) = 0;
};

// `broker` and `handler` must outlive it.
class Channel final : public net::BufferedConnection {
 public:
  // `socket` may still be connecting.
  Channel(net::EventLoop& loop, net::BufferPool& pool, metrics::Counters& counters, const Broker& broker,
          ChannelHandler& handler, net::Socket socket);
  ~Channel() override;

  bool is_up() const { return setup_.is_complete() && !is_closing(); }
  bool may_publish() const { return is_up() && flow_active_ && !blocked_; }
  // Publishes to a queue and returns the number under which the broker will confirm the message.
  std::uint64_t publish(const std::string& queue, const Properties& properties, std::string_view body);
  void acknowledge(std::uint64_t delivery_tag);
  // The delivery is discarded by the broker and not delivered again.
  void reject(std::uint64_t delivery_tag);
  void stop_consuming();
  // Closes the connection in an orderly way: it ends once the broker has answered.
  void close();

 private:
  struct TrafficHandler {
    std::uint32_t method;
    void (Channel::*handle)(Reader& arguments);
  };

  void on_connected() override { sender_.send_protocol_header(); }
  void on_received(std::string_view bytes) override;
  void on_closed() override;

  // These return false if the connection ends: the frames that follow are ignored.
  bool handle_frame(const Frame& frame);
  bool handle_method(const Frame& frame);
  bool handle_content(const Frame& frame);
  bool abort(ProtocolError error);

  std::optional<ProtocolError> dispatch(std::uint32_t method, Reader& arguments);
  std::optional<ProtocolError> handle_setup(std::uint32_t method, Reader& arguments);
  static const TrafficHandler* find_traffic_handler(std::uint32_t method);
  void handle_deliver(Reader& arguments);
  void handle_return(Reader& arguments);
  void handle_ack(Reader& arguments);
  void handle_nack(Reader& arguments);
  void handle_confirmation(ConfirmKind kind, Reader& arguments);
  void handle_cancel(Reader& arguments);
  void handle_cancel_ok(Reader&) {}
  void handle_flow(Reader& arguments);
  void handle_blocked(Reader& arguments);
  void handle_unblocked(Reader& arguments);

  static bool is_close_method(std::uint32_t method);
  void handle_close(std::uint32_t method, Reader& arguments);
  void close_for_broker(Reader& arguments, const metrics::Counter& counter);

  metrics::Counters& counters_;
  ChannelHandler& handler_;
  FrameParser parser_;
  MethodSender sender_{*this};
  Heartbeat heartbeat_;
  QueueConsumers consumers_;
  ChannelSetup setup_;
  ContentAssembler content_;
  net::EventLoop::TimerId setup_timer_{};
  std::optional<net::Millis> up_since_;
  std::uint64_t published_ = 0;
  bool flow_active_ = true;  // the broker may pause publishing with channel.flow
  bool blocked_ = false;     // or with connection.blocked
  CloseReason close_reason_;
};

}  // namespace lotusyard::amqp
