// The handshake of a connection and its channel: login, tuning, topology and consumers.
#pragma once

#include <cstdint>
#include <optional>

#include "amqp/broker.h"
#include "amqp/heartbeat.h"
#include "amqp/method_sender.h"
#include "amqp/protocol_error.h"
#include "amqp/queue_consumers.h"
#include "amqp/reader.h"
#include "amqp/topology_declarer.h"

namespace lotusyard::amqp {

// A state machine over the methods that the broker sends. What it refers to must outlive it.
class ChannelSetup {
 public:
  ChannelSetup(const Broker& broker, MethodSender& sender, FrameParser& parser, Heartbeat& heartbeat,
               QueueConsumers& consumers)
      : broker_(broker),
        sender_(sender),
        parser_(parser),
        heartbeat_(heartbeat),
        consumers_(consumers),
        declarer_(broker.topology, sender) {}

  // Whether the method belongs to the handshake.
  static bool is_setup_method(std::uint32_t method);
  // Takes a method of the handshake and sends the next one. Returns the error if it is not expected now or
  // cannot be accepted.
  std::optional<ProtocolError> handle(std::uint32_t method, Reader& arguments);

  // All consumers are confirmed, and close() was not called.
  bool is_complete() const { return state_ == State::complete; }
  // The credentials were sent, and the broker has not accepted them yet.
  bool is_logging_in() const { return state_ == State::awaiting_tune; }
  // The declaration whose answer is awaited, or null.
  const std::string* pending_declaration_key() const;
  // The connection is being closed: no method of the handshake is expected any more.
  void close() { state_ = State::closing; }

 private:
  enum class State {
    awaiting_start,
    awaiting_tune,
    awaiting_open,
    awaiting_channel,
    awaiting_confirm_mode,
    awaiting_qos,
    declaring_topology,
    starting_consumers,
    complete,
    closing
  };
  struct Step {
    std::uint32_t method;
    State expected;
    State next;
    std::optional<ProtocolError> (ChannelSetup::*act)(Reader& arguments);
  };

  static const Step* find_step(std::uint32_t method);
  std::optional<ProtocolError> log_in(Reader& arguments);
  std::optional<ProtocolError> tune(Reader& arguments);
  std::optional<ProtocolError> open_channel(Reader& arguments);
  std::optional<ProtocolError> select_confirms(Reader& arguments);
  std::optional<ProtocolError> set_prefetch(Reader& arguments);
  std::optional<ProtocolError> begin_topology(Reader& arguments);
  std::optional<ProtocolError> confirm_declaration(std::uint32_t method);
  std::uint16_t negotiate_heartbeat(std::uint16_t proposed) const;
  void declare_next();
  void confirm_consumer();

  const Broker& broker_;
  MethodSender& sender_;
  FrameParser& parser_;
  Heartbeat& heartbeat_;
  QueueConsumers& consumers_;
  TopologyDeclarer declarer_;
  State state_ = State::awaiting_start;
};

}  // namespace lotusyard::amqp
