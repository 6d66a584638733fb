// One connection to a broker with one channel on it: handshake, consumers, confirmed publishing, heartbeats.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "amqp/recovery.h"
#include "amqp/topology.h"
#include "amqp/wire.h"
#include "metrics/counters.h"
#include "net/buffered_connection.h"

namespace lotusyard::amqp {

struct Broker {
  std::vector<std::string> addresses;  // tried in turn
  std::string user = "guest", password = "guest", vhost = "/";
  std::vector<std::string> queues;
  Topology topology;  // declared before the queues are consumed
  std::uint16_t prefetch = 32, heartbeat_s = 10;
  std::size_t longest_body = 16 * 1024;
};

struct Delivery {
  std::uint64_t tag = 0;
  bool redelivered = false, oversized = false;  // oversized: the body was passed over
  Properties properties;
  std::string body;
};

// Who is told of what comes from the broker.
class Consumer {
 public:
  virtual ~Consumer() = default;
  virtual void on_channel_open() = 0;
  virtual void delivered(Delivery&& delivery) = 0;
  virtual void confirmed(std::uint64_t number, bool multiple, bool taken) = 0;  // of publishings
  virtual void on_channel_closed(const Ending& ending) = 0;                     // once
};

class Channel final : public net::BufferedConnection {
 public:
  Channel(net::EventLoop& loop, net::BufferPool& pool, metrics::Counters& counters, const Broker& broker,
          Consumer& consumer, net::Socket socket);
  ~Channel() override;

  bool up() const { return state_ == State::up && !is_closing(); }
  bool may_publish() const { return up() && flowing_ && !blocked_; }
  std::uint64_t publish(const std::string& queue, const Properties& properties, std::string_view body);
  void ack(std::uint64_t tag);
  void reject(std::uint64_t tag);  // not to be delivered again
  void stop_consuming();
  void close();  // says goodbye; ends once the broker has answered

 private:
  enum class State { start, tune, open, channel, confirm, qos, declare, consume, up, closing };
  metrics::Counters& counters_;
  const Broker& broker_;
  Consumer& consumer_;
  State state_ = State::start;
  FrameParser parser_;
  std::size_t frame_most_ = 4096;
  std::size_t consumers_ = 0, declared_ = 0;
  std::uint64_t published_ = 0;
  bool flowing_ = true, blocked_ = false;
  Ending ending_;
  net::Millis up_since_{0};
  // The content that is coming in.
  enum class Content { none, delivery, returned } content_ = Content::none;
  bool header_seen_ = false;
  Delivery delivery_;
  std::uint64_t body_left_ = 0;
  net::EventLoop::TimerId beat_{}, quiet_{}, setup_{};
  net::Millis interval_{0};

  void on_connected() override;
  void on_received(std::string_view bytes) override;
  void on_closed() override;
  bool take(Frame&& frame);
  bool method(Reader& in, std::uint32_t id);
  bool content(Frame&& frame);
  void content_done();
  void say(std::uint32_t id, std::uint16_t channel, const Writer& arguments);
  void declare_next();
  void consume_all();
  void consume(std::size_t queue);
  void consume_again(const std::string& tag);
  void beat();
  void watch_quiet();
  bool lost(const metrics::Counter& why);
  bool closed_by(Reader& in, const metrics::Counter& why);
};

}  // namespace lotusyard::amqp
