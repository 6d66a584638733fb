// Sends methods, messages and heartbeats over a connection to a broker.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "amqp/content_header.h"
#include "amqp/frame.h"
#include "amqp/writer.h"
#include "net/buffered_connection.h"

namespace lotusyard::amqp {

// Channel 0 belongs to the connection itself; the messages use the one channel that is opened.
inline constexpr std::uint16_t kConnectionChannel = 0;
inline constexpr std::uint16_t kMessageChannel = 1;

// The maximum frame size, in bytes, that the specification demands of every broker.
inline constexpr std::size_t kMinFrameSize = 4096;

// The connection must outlive the sender.
class MethodSender {
 public:
  explicit MethodSender(net::BufferedConnection& connection) : connection_(connection) {}

  // Opens the conversation; the broker answers with connection.start.
  void send_protocol_header();
  void send(std::uint32_t method, std::uint16_t channel, const Writer& arguments);
  void send_heartbeat();
  // Publishes a message to the queue by way of the default exchange. The broker returns it if no such queue
  // exists.
  void publish(const std::string& queue, const Properties& properties, std::string_view body);
  // The largest frame that the broker accepts, in bytes.
  void set_max_frame_size(std::size_t bytes) { max_frame_size_ = bytes; }

 private:
  net::BufferedConnection& connection_;
  std::size_t max_frame_size_ = kMinFrameSize;
};

}  // namespace lotusyard::amqp
