// A stand-in for an AMQP broker on loopback with one queue of calls, which injects faults as a test
// configures it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "amqp/methods.h"
#include "amqp/wire.h"
#include "net/buffered_connection.h"
#include "support/loopback_server.h"
#include "support/random_input.h"

namespace lotusyard::test {

class StandInBroker {
 public:
  struct Message {
    amqp::Properties properties;
    std::string body;
    bool redelivered = false;
  };
  struct Chaos {  // probabilities in thousandths
    unsigned drop = 0, redeliver = 0, reorder = 0, nack = 0;
  };

  // A client's connection. Implements the part of AMQP 0-9-1 that a consumer that publishes answers uses.
  class Peer final : public net::BufferedConnection {
   public:
    Peer(StandInBroker& broker, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), broker_(broker) {}
    // Sends a method; `id` is one of amqp::method.
    void send_method(std::uint32_t id, std::uint16_t channel, const amqp::Writer& arguments);

    std::map<std::uint64_t, Message> unacked;  // by delivery tag
    std::uint64_t last_tag = 0;
    std::uint64_t published_messages = 0;
    std::size_t prefetch = 0;
    bool consuming = false;

   private:
    void on_received(std::string_view bytes) override;
    void on_closed() override;
    // Removes the protocol header from the first bytes of the connection.
    void receive_protocol_header(std::string_view& bytes);
    void handle(const amqp::Frame& frame);
    void handle_content_header(const amqp::Frame& frame);
    void handle_content_body(const amqp::Frame& frame);
    void finish_message_if_complete();
    void handle_method(const amqp::Frame& frame);
    bool handle_connection_method(std::uint32_t id);
    bool handle_channel_method(std::uint32_t id, amqp::Reader& arguments);
    void handle_basic_method(std::uint32_t id, amqp::Reader& arguments);
    void open_connection();
    void declare_queue(amqp::Reader& arguments);
    void consume(amqp::Reader& arguments);

    StandInBroker& broker_;
    std::string protocol_header_;
    amqp::FrameParser parser_;
    Message published_message_;
    std::string reply_queue_;               // of the message that is being published
    std::uint64_t missing_body_bytes_ = 0;  // of that message
  };

  StandInBroker(net::EventLoop& loop, net::BufferPool& pool, std::uint64_t seed)
      : random(seed), server(loop, pool, *this) {}

  bool chance(unsigned in_thousand) { return below(random, 1000) < in_thousand; }
  // Enqueues a call with the headers that clients set.
  void send(const std::string& id, const std::string& call_class, const std::string& body,
            amqp::Table more_headers = {});
  void enqueue(Message&& message);
  // Sends a method on channel 0 of all connections.
  void send_method_to_all(std::uint32_t id, const amqp::Writer& arguments);
  void drop_all();
  // Sends queued messages, up to the peer's prefetch limit.
  void deliver(Peer& peer);
  void on_published(Peer& peer, const std::string& reply_queue, const Message& answer);

  Random random;
  LoopbackServer<Peer, StandInBroker> server;
  Chaos chaos;
  std::deque<Message> queue;
  std::vector<Message> answers;                               // every published message that was received
  std::map<std::string, std::vector<Message>> answers_by_id;  // by correlation id
  std::size_t acked = 0, rejected = 0, dropped = 0;
  std::uint16_t heartbeat_s = 0;  // the interval that it negotiates; it sends no heartbeats
  int missing_queues = 0;         // how many more times a consumer's queue is not found
  std::uint16_t close_code = 0;   // closes connections with this code instead of opening them; 0: opens them
  int closes = 0;
  int bindings = 0;
  std::map<std::string, amqp::Table> queues;  // declared queues with their arguments
  bool withholds_confirms = false;            // publisher confirms are not sent

 private:
  void drop(Peer& peer);
  void write_delivery(Peer& peer, const Message& message);
};

inline std::string result_word(const StandInBroker::Message& answer) {
  return std::get<std::string>(answer.properties.headers.at("word"));
}

}  // namespace lotusyard::test
