// What the tests share: random cuts and garbage, stand-in hosts and a stand-in broker on loopback, and the
// parts of an invoker wired to them. All run on one loop, in turns; random choices come from fixed seeds.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "amqp/front.h"
#include "amqp/methods.h"
#include "core/dispatcher.h"
#include "hosts/connection_pool.h"
#include "hosts/line_parser.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"

namespace lotusyard::test {

using core::Millis;
using Random = std::mt19937_64;

inline std::size_t below(Random& random, std::size_t bound) { return random() % bound; }

// The parser must give the same for a message however it is cut.
template <typename Parser, typename Out>
std::vector<Out> parse_cut(Random& random, const std::string& bytes, bool& sound) {
  Parser parser;
  std::vector<Out> out;
  sound = true;
  for (std::size_t at = 0; at < bytes.size() && sound;) {
    const std::size_t part = std::min(bytes.size() - at, 1 + below(random, 1 + below(random, 40)));
    sound = parser.take(std::string_view(bytes).substr(at, part), out);
    at += part;
  }
  return out;
}
inline std::string garbage(Random& random, const std::string& alphabet) {
  std::string out(below(random, 400), ' ');
  for (char& c : out)
    c = below(random, 3) == 0 ? static_cast<char>(random()) : alphabet[below(random, alphabet.size())];
  return out;
}

inline core::Settings settings() {
  core::Settings s;
  s.classes.resize(2);
  s.classes[0].name = "bin-check";
  s.classes[0].semantics = lotusyard::policy::Semantics::repeatable;
  s.classes[1].name = "bin-record";
  for (auto& c : s.classes)
    c.aim = c.deadline = Millis(1500);
  s.tick = Millis(4);
  s.answer_grace = Millis(16);
  s.drain_grace = Millis(2000);
  s.keep_alive = Millis(9000);
  s.order_timeout = Millis(10000);
  s.connect_timeout = Millis(250);
  s.miss_is_answered = s.orders = s.cancel = s.probes = true;
  s.max_attempts = 4;
  s.retry_after = true;
  s.max_retry_after = Millis(500);
  s.seed = 7;
  return s;
}

// The same with a third class, "booking", that is keyed, and second copies.
inline core::Settings keyed_settings(Millis window) {
  core::Settings s = settings();
  s.classes.push_back(s.classes[0]);
  s.classes[2].name = "booking";
  s.classes[2].semantics = lotusyard::policy::Semantics::keyed;
  s.classes[2].key_window = window;
  s.second_copies = true;
  s.max_attempts = 3;
  return s;
}

// Accepts connections and keeps them until they end.
template <typename Peer, typename Owner>
class Server : public net::EventHandler {
 public:
  Server(net::EventLoop& loop, net::BufferPool& pool, Owner& owner,
         const std::string& address = "127.0.0.1:0")
      : loop_(loop), pool_(pool), owner_(owner), listener_(net::listen_on(address)) {
    REQUIRE(static_cast<bool>(listener_));
    address_ = net::bound_address(listener_);
    loop_.register_handler(listener_.fd(), *this, POLLIN);
  }
  ~Server() override { stop(); }
  void stop() {
    if (listener_)
      loop_.unregister(listener_.fd(), *this);
    listener_.close();
  }
  const std::string& address() const { return address_; }
  std::list<std::shared_ptr<Peer>> peers;
  void ready(short) override {
    while (net::Socket socket = net::accept_from(listener_).socket) {
      peers.push_back(std::make_shared<Peer>(owner_, loop_, pool_, std::move(socket)));
    }
  }
  void gone(Peer& peer) {
    for (auto i = peers.begin(); i != peers.end(); ++i) {
      if (i->get() != &peer)
        continue;
      loop_.delete_later(*i);
      peers.erase(i);
      return;
    }
  }

 private:
  net::EventLoop& loop_;
  net::BufferPool& pool_;
  Owner& owner_;
  net::Socket listener_;
  std::string address_;
};

// What a stand-in host does with one exec. `stall`: half an answer, and then nothing more on that connection.
struct Reaction {
  enum Kind { reply, silence, half, hang_up, stall, twice, stranger, noise } kind = reply;
  std::string word = "data";
  std::size_t length = 0;  // of the answer's body; 0: the request's, unchanged
};

class StandInHost {
 public:
  StandInHost(net::EventLoop& loop, net::BufferPool& pool, const std::string& address = "127.0.0.1:0")
      : server(loop, pool, *this, address) {}
  class Peer final : public net::BufferedConnection {
   public:
    Peer(StandInHost& host, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), host_(host) {}

    bool stalled = false;

   private:
    StandInHost& host_;
    hosts::LineParser parser_;  // its requests have the form of its answers, with the verb first
    void on_received(std::string_view bytes) override {
      std::vector<hosts::Reply> lines;
      REQUIRE(parser_.take(bytes, lines));
      for (const auto& line : lines)
        host_.take(*this, line);
    }
    void on_closed() override { host_.server.gone(*this); }
  };
  Server<Peer, StandInHost> server;
  std::function<Reaction(const std::string& body)> react = [](const std::string&) { return Reaction(); };
  std::map<std::string, int> runs;                            // by body: execs that may have run
  int execs = 0, drops = 0, orders = 0, signs = 0, asks = 0;  // asks: orders for no copy
  std::vector<std::string> fields;                            // of each exec
  bool mute = false;                                          // asked for a sign it gives none, as if cut off

 private:
  void take(Peer& peer, const hosts::Reply& line) {
    if (line.id == "drop")
      ++drops;
    if (peer.stalled)
      return;
    if (line.id == "health")
      ++signs;
    if (line.id == "health" && !mute)
      peer.write(line.word + " well - 0\r\n\r\n");
    if (line.id == "load")
      peer.write(line.word + " well l=inflight:1;util:0.5 0\r\n\r\n");
    if (line.id == "ensure") {
      const bool asks_only = line.fields.find("count=0") != std::string::npos;
      ++(asks_only ? asks : orders);
      if (asks_only && mute)
        return;
      peer.write(line.word + " data count=1\r\n");
    }
    if (line.id != "exec")
      return;
    ++execs;
    fields.push_back(line.fields);
    const Reaction reaction = react(line.body);
    if (reaction.kind != Reaction::reply || reaction.word == "data" || reaction.word == "failed")
      ++runs[line.body];
    const std::string body = reaction.length == 0 ? line.body : std::string(reaction.length, 'x');
    const std::string whole = line.word + ' ' + reaction.word + " l=inflight:1;util:0.5 " +
                              std::to_string(body.size()) + "\r\n" + body + "\r\n";
    if (reaction.kind == Reaction::stranger)
      peer.write("00000000000000ff data - 1\r\nx\r\n");
    if (reaction.kind == Reaction::noise)
      peer.write(line.word + " d\x01ta =,= 3\r\nxyz\r\n");
    if (reaction.kind == Reaction::twice)
      peer.write(whole);
    if (reaction.kind <= Reaction::reply || reaction.kind >= Reaction::twice)
      peer.write(whole);
    peer.stalled = reaction.kind == Reaction::stall;
    if (peer.stalled)
      peer.write(whole.substr(0, whole.size() / 2));
    if (reaction.kind == Reaction::half)
      peer.write(whole.substr(0, whole.size() / 2));
    if (reaction.kind == Reaction::half)
      peer.flush_now();
    if (reaction.kind == Reaction::half || reaction.kind == Reaction::hang_up)
      peer.close_later();
  }
};

// The parts of an invoker behind its fronts, and hosts for it.
class World {
 public:
  explicit World(std::size_t hosts, const core::Settings& s = settings(), const hosts::Limits& l = limits(),
                 net::Clocks clocks = net::Clocks::system())
      : loop(std::move(clocks)),
        pool(4096),
        fleet(loop, pool, counters, l),
        dispatcher(
            s, [this] { return loop.now(); }, fleet, counters) {
    loop.count_errors([this](const char* name) { counters.add(name); });
    fleet.attach(dispatcher);
    for (std::size_t i = 0; i < hosts; ++i)
      host.push_back(std::make_unique<StandInHost>(loop, pool));
    tell(lotusyard::policy::WorkerState::ready);
  }
  // The whole list anew; the given state is that of all hosts, or of one.
  void tell(lotusyard::policy::WorkerState state, double started = 0, std::size_t one = SIZE_MAX) {
    states.resize(host.size());
    core::HostListUpdate list{true, {}};
    core::HostList entries{core::ListKind::full, {}};
    for (std::size_t i = 0; i < host.size(); ++i) {
      core::ListedHost member;
      member.entry.worker = "h" + std::to_string(i);
      if (one == SIZE_MAX || one == i)
        states[i] = {state, Millis(started), loop.now()};
      member.entry.state = states[i].state;
      member.entry.started = states[i].started;
      member.address = host[i]->server.address();
      list.hosts.push_back(member);
      entries.entries.push_back(member.entry);
    }
    fleet.update_endpoints(list);
    dispatcher.update_endpoints(std::move(entries));
  }
  void turn() {
    loop.run_once(std::min(dispatcher.next_deadline(), loop.now() + Millis(20)),
                  [this] { dispatcher.tick(); });
  }
  template <typename Until>
  bool turn_until(const Until& until, int most = 200000) {
    for (int i = 0; i < most; ++i) {
      if (until())
        return true;  // asked once: some of what is asked has effects
      turn();
    }
    return until();
  }
  static hosts::Limits limits() {
    hosts::Limits l;
    l.report_fields = {"inflight", "util"};
    return l;
  }
  struct Told {
    lotusyard::policy::WorkerState state = lotusyard::policy::WorkerState::gone;
    Millis started{0}, at{0};
  };
  net::EventLoop loop;
  net::BufferPool pool;
  core::Counters counters;
  std::vector<std::unique_ptr<StandInHost>> host;
  std::vector<Told> states;
  hosts::HostConnectionPool fleet;
  core::Dispatcher dispatcher;
};

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
      REQUIRE(parser_.take(bytes, frames));
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
      const std::uint32_t cls = in.u16();
      switch (method::id(cls, in.u16())) {
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
  void send(const std::string& id, const std::string& cls, const std::string& body, amqp::Table more = {}) {
    Message m;
    m.properties.message_id = id;
    m.properties.correlation_id = "c-" + id;
    m.properties.reply_to = "answers";
    m.properties.headers = std::move(more);
    m.properties.headers.emplace("class", cls);
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
