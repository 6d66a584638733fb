// An AMQP broker on loopback with one queue of calls, which misbehaves as a test tells it.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "amqp/methods.h"
#include "amqp/wire.h"
#include "net/buffered_connection.h"
#include "support/loopback_server.h"
#include "support/random_input.h"

namespace lotusyard::test {

// A broker for one queue of calls. It hands out what stands there, takes answers, and misbehaves as told.
class StandInBroker {
 public:
  struct Message {
    amqp::Properties properties;
    std::string body;
    bool redelivered = false;
  };
  struct Chaos {  // chances in a thousand
    unsigned drop = 0, redeliver = 0, reorder = 0, nack = 0;
  };
  StandInBroker(net::EventLoop& loop, net::BufferPool& pool, std::uint64_t seed)
      : random(seed), server(loop, pool, *this), loop_(loop) {}

  class Peer final : public net::BufferedConnection {
   public:
    Peer(StandInBroker& broker, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), broker_(broker) {}
    void say(std::uint32_t id, std::uint16_t channel, const amqp::Writer& arguments) {
      const std::string head = amqp::Writer().u16(id >> 16).u16(id & 0xFFFF).bytes();
      write(amqp::frame(amqp::FrameType::method, channel, head + arguments.bytes()));
    }
    std::map<std::uint64_t, Message> unacked;
    std::uint64_t last_tag = 0, publishings = 0;
    std::size_t prefetch = 0;
    bool consuming = false;

   private:
    StandInBroker& broker_;
    std::string greeting_;
    amqp::FrameParser parser_;
    Message publishing_;
    std::string reply_queue_;
    std::uint64_t left_ = 0;

    void on_received(std::string_view bytes) override {
      const std::size_t part = std::min(8 - greeting_.size(), bytes.size());
      if (part > 0)
        greeting_.append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      if (part > 0 && greeting_.size() == 8) {
        REQUIRE(greeting_ == std::string("AMQP\0\0\x09\x01", 8));
        say(amqp::method::connection_start, 0,
            amqp::Writer().u8(0).u8(9).table({}).long_text("PLAIN").long_text("en_US"));
      }
      std::vector<amqp::Frame> frames;
      REQUIRE(parser_.parse(bytes, frames));
      for (const auto& frame : frames)
        take(frame);
    }
    void take(const amqp::Frame& frame) {
      using namespace amqp;
      if (frame.type == FrameType::heartbeat)
        return;
      if (frame.type == FrameType::header) {
        auto read = read_content_header(frame.payload);
        REQUIRE(read);
        left_ = read->first;
        publishing_ = {std::move(read->second), {}, false};
        if (left_ == 0)
          broker_.published(*this, reply_queue_, publishing_);
        return;
      }
      if (frame.type == FrameType::body) {
        publishing_.body += frame.payload;
        left_ -= frame.payload.size();
        if (left_ == 0)
          broker_.published(*this, reply_queue_, publishing_);
        return;
      }
      Reader in(frame.payload);
      const std::uint32_t call_class = in.u16();
      switch (method::id(call_class, in.u16())) {
        case method::connection_start_ok:
          return say(method::connection_tune, 0, Writer().u16(10).u32(4096).u16(broker_.heartbeat_s));
        case method::connection_open:
          if (broker_.close_with != 0) {
            ++broker_.closes;
            return say(method::connection_close, 0,
                       Writer().u16(broker_.close_with).short_text("as told").u16(0).u16(0));
          }
          return say(method::connection_open_ok, 0, Writer().short_text(""));
        case method::channel_open:
          return say(method::channel_open_ok, 1, Writer().long_text(""));
        case method::confirm_select:
          return say(method::confirm_select_ok, 1, Writer());
        case method::basic_qos:
          in.u32();
          prefetch = in.u16();
          return say(method::basic_qos_ok, 1, Writer());
        case method::exchange_declare:
          return say(method::exchange_declare_ok, 1, Writer());
        case method::queue_bind:
          ++broker_.bindings;
          return say(method::queue_bind_ok, 1, Writer());
        case method::queue_declare: {
          in.u16();
          const std::string name = in.short_text();
          const bool passive = (in.u8() & 1) != 0;
          const Table wanted = in.table();
          const auto known = broker_.queues.find(name);
          const int code = known == broker_.queues.end()         ? (passive ? 404 : 0)
                           : !passive && known->second != wanted ? 406
                                                                 : 0;
          if (code != 0)
            return say(method::channel_close, 1,
                       Writer().u16(static_cast<std::uint64_t>(code)).short_text("as told").u16(50).u16(10));
          broker_.queues.emplace(name, wanted);
          return say(method::queue_declare_ok, 1, Writer().short_text(name).u32(0).u32(0));
        }
        case method::basic_consume: {
          in.u16();
          in.short_text();
          const std::string tag = in.short_text();
          if (broker_.missing_queues > 0) {
            --broker_.missing_queues;
            return say(method::channel_close, 1, Writer().u16(404).short_text("NOT_FOUND").u16(60).u16(20));
          }
          say(method::basic_consume_ok, 1, Writer().short_text(tag));
          consuming = true;
          return broker_.deliver(*this);
        }
        case method::basic_cancel:
          consuming = false;
          return say(method::basic_cancel_ok, 1, Writer().short_text(in.short_text()));
        case method::basic_publish:
          in.u16();
          in.short_text();
          reply_queue_ = in.short_text();
          return;
        case method::basic_ack:
          if (unacked.erase(in.u64()) == 1)
            ++broker_.acked;
          return broker_.deliver(*this);
        case method::basic_reject:
          if (unacked.erase(in.u64()) == 1)
            ++broker_.rejected;
          return broker_.deliver(*this);
        case method::connection_close:
          say(method::connection_close_ok, 0, Writer());
          return;
        default:
          return;
      }
    }
    void on_closed() override {
      for (auto& [tag, message] : unacked) {
        message.redelivered = true;
        broker_.queue.push_back(std::move(message));
      }
      if (broker_.chance(broker_.chaos.reorder)) {
        std::shuffle(broker_.queue.begin(), broker_.queue.end(), broker_.random);
      }
      broker_.server.gone(*this);
    }
  };

  Random random;
  Server<Peer, StandInBroker> server;
  Chaos chaos;
  std::deque<Message> queue;
  std::vector<Message> answers;                      // every publishing that arrived
  std::map<std::string, std::vector<Message>> held;  // answers by correlation id
  std::size_t acked = 0, rejected = 0, dropped = 0;
  std::uint16_t heartbeat_s = 0;  // this broker sends no heartbeats, whatever it agreed to
  int missing_queues = 0;
  std::uint16_t close_with = 0;  // connections are closed with this code before they open
  int closes = 0;
  int bindings = 0;
  std::map<std::string, amqp::Table> queues;  // declared, with their arguments
  bool withhold = false;                      // no confirm is sent

  bool chance(unsigned in_thousand) { return below(random, 1000) < in_thousand; }
  // Sends a call; its fields as an operator's tablet would give them.
  void send(const std::string& id, const std::string& call_class, const std::string& body,
            amqp::Table more = {}) {
    Message m;
    m.properties.message_id = id;
    m.properties.correlation_id = "c-" + id;
    m.properties.reply_to = "answers";
    m.properties.headers = std::move(more);
    m.properties.headers.emplace("class", call_class);
    m.properties.headers.emplace("lookup", std::string("00000000000000a1"));
    m.properties.headers.emplace("memory_mb", std::int64_t{300});
    m.properties.headers.emplace("lanes", std::int64_t{4});
    m.body = body;
    put(std::move(m));
  }
  void put(Message&& m) {
    queue.push_back(std::move(m));
    for (const auto& peer : server.peers)
      deliver(*peer);
  }
  void say_all(std::uint32_t id, const amqp::Writer& arguments) {
    for (const auto& peer : server.peers)
      peer->say(id, 0, arguments);
  }
  void drop_all() {
    dropped += server.peers.size();
    for (const auto& peer : server.peers)
      peer->close_later();
  }
  void deliver(Peer& peer) {
    while (peer.consuming && peer.is_open() && !queue.empty() && peer.unacked.size() < peer.prefetch) {
      const std::size_t pick = chance(chaos.reorder) ? below(random, queue.size()) : 0;
      Message m = std::move(queue[pick]);
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(pick));
      write_delivery(peer, m);
      peer.unacked[peer.last_tag] = m;
      if (!chance(chaos.redeliver))
        continue;
      m.redelivered = true;  // the same again under a further tag, as a broker does that recovers
      write_delivery(peer, m);
    }
  }
  void published(Peer& peer, const std::string& reply_queue, const Message& answer) {
    if (chance(chaos.drop / 2))
      return drop(peer);  // it never arrived
    const std::uint64_t number = ++peer.publishings;
    if (chance(chaos.nack))
      return peer.say(amqp::method::basic_nack, 1, amqp::Writer().u64(number).u8(0));
    REQUIRE(reply_queue == "answers");
    answers.push_back(answer);
    held[answer.properties.correlation_id].push_back(answer);
    if (chance(chaos.drop / 2))
      return drop(peer);  // it is held, but the confirm is lost
    if (withhold)
      return;
    peer.say(amqp::method::basic_ack, 1, amqp::Writer().u64(number).u8(0));
    if (!chance(chaos.drop / 2))
      return;
    peer.flush_now();  // the confirm arrives, our ack is lost
    drop(peer);
  }

 private:
  net::EventLoop& loop_;
  void drop(Peer& peer) {
    ++dropped;
    peer.close_later();
  }
  void write_delivery(Peer& peer, const Message& m) {
    using namespace amqp;
    peer.say(method::basic_deliver, 1,
             Writer()
                 .short_text("t")
                 .u64(++peer.last_tag)
                 .u8(m.redelivered ? 1 : 0)
                 .short_text("")
                 .short_text("calls"));
    peer.write(frame(FrameType::header, 1, content_header(m.body.size(), m.properties)));
    for (std::size_t at = 0; at < m.body.size(); at += 4000) {
      peer.write(frame(FrameType::body, 1, std::string_view(m.body).substr(at, 4000)));
    }
  }
};

inline std::string word_of(const StandInBroker::Message& answer) {
  return std::get<std::string>(answer.properties.headers.at("word"));
}

}  // namespace lotusyard::test
