// A TCP relay on the event loop of the test. Each direction can be held, delayed and cut separately, and all
// connections can be closed or reset. Random choices come from a fixed seed.
#pragma once

#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>

#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "support/loopback_server.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {

class Relay {
 public:
  enum class Direction { to_node, to_invoker };
  // held: bytes are queued. cut: bytes are dropped silently; a connection that has lost bytes is closed once
  // its direction is open again, since a stream cannot lack bytes in its middle.
  enum class Mode { open, held, cut };

  Relay(net::EventLoop& loop, std::string to, std::uint64_t seed)
      : loop_(loop), target_(std::move(to)), random_(seed), pool_(kBlocks), server_(loop, pool_, *this) {}

  const std::string& address() const { return server_.address(); }
  std::size_t connections() const { return server_.peers.size(); }
  void set(Direction direction, Mode mode) {
    mode_[index(direction)] = mode;
    for (const auto& peer : server_.peers)
      peer->mode_changed();
  }
  // Every chunk is delayed by a random time up to `max_delay`; the order is preserved.
  void delay(Direction direction, Millis max_delay) { delay_[index(direction)] = max_delay; }
  void close() {
    for (const auto& peer : server_.peers)
      peer->close();
  }
  void reset() {
    for (const auto& peer : server_.peers)
      peer->reset();
  }

 private:
  static constexpr std::size_t kBlocks = 8192;
  static std::size_t index(Direction direction) { return direction == Direction::to_node ? 0 : 1; }

  // One direction of one connection.
  class Pipe {
   public:
    Pipe(Relay& relay, Direction direction) : relay_(relay), direction_(direction) {}
    ~Pipe() { relay_.loop_.cancel(timer_); }
    net::BufferedConnection* sink = nullptr;

    void receive(std::string_view bytes) {
      lost_ = lost_ || mode() == Mode::cut;
      if (lost_)
        return;
      const Millis max_delay = relay_.delay_[index(direction_)];
      if (max_delay.count() > 0) {
        const std::size_t first = below(relay_.random_, bytes.size());
        queue(bytes.substr(0, first), max_delay);
        bytes.remove_prefix(first);
      }
      queue(bytes, max_delay);
      forward();
    }
    void source_ended() {
      source_ended_ = true;
      forward();
    }
    // Forwards the chunks that are due.
    void forward() {
      const Millis now = relay_.loop_.now();
      if (mode() != Mode::open || lost_)
        return;
      while (!waiting_.empty() && waiting_.front().due <= now) {
        sink->write(waiting_.front().bytes);
        waiting_.pop_front();
      }
      if (waiting_.empty() && source_ended_)
        sink->shutdown_after_flush();
      relay_.loop_.cancel(timer_);
      if (!waiting_.empty())
        timer_ = relay_.loop_.schedule_at(waiting_.front().due, [this] { forward(); });
    }
    bool must_close() const { return lost_ && mode() == Mode::open; }

   private:
    struct Chunk {
      Millis due;
      std::string bytes;
    };
    Relay& relay_;
    Direction direction_;
    std::deque<Chunk> waiting_;
    net::EventLoop::TimerId timer_{};
    Millis last_due_{0};
    bool lost_ = false, source_ended_ = false;

    Mode mode() const { return relay_.mode_[index(direction_)]; }
    void queue(std::string_view bytes, Millis max_delay) {
      if (bytes.empty())
        return;
      const double share = static_cast<double>(below(relay_.random_, 1000)) / 1000;
      last_due_ = std::max(last_due_, relay_.loop_.now() + max_delay * share);
      waiting_.push_back({last_due_, std::string(bytes)});
    }
  };

  // A pair of connections: this one is the invoker's, `inner_` is the node's.
  class Peer final : public net::BufferedConnection {
   public:
    Peer(Relay& relay, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : Peer(relay, loop, pool, std::move(socket), net::connect_to(relay.target_).socket) {}
    void mode_changed() {
      if (to_node_.must_close() || to_invoker_.must_close())
        return close();
      to_node_.forward();
      to_invoker_.forward();
    }
    void close() {
      close_later();
      inner_.close_later();
    }
    void reset() {
      const linger at_once{1, 0};
      for (const int fd : {fd_, inner_fd_})
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      close();
    }

   private:
    struct Inner final : net::BufferedConnection {
      Inner(Peer& peer, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
          : BufferedConnection(loop, pool, std::move(socket), true), peer_(peer) {}
      void on_connected() override { loop().flush_later(*this); }
      void on_received(std::string_view bytes) override { peer_.to_invoker_.receive(bytes); }
      void on_closed() override { peer_.side_ended(peer_.inner_fd_, peer_.to_invoker_); }
      Peer& peer_;
    };
    Relay& relay_;
    int fd_, inner_fd_;  // -1: closed
    Pipe to_node_, to_invoker_;
    Inner inner_;

    Peer(Relay& relay, net::EventLoop& loop, net::BufferPool& pool, net::Socket&& socket, net::Socket&& inner)
        : Peer(relay, loop, pool, socket.fd(), inner.fd(), std::move(socket), std::move(inner)) {}
    Peer(Relay& relay, net::EventLoop& loop, net::BufferPool& pool, int fd, int inner_fd,
         net::Socket&& socket, net::Socket&& inner)
        : BufferedConnection(loop, pool, std::move(socket), false),
          relay_(relay),
          fd_(fd),
          inner_fd_(inner_fd),
          to_node_(relay, Direction::to_node),
          to_invoker_(relay, Direction::to_invoker),
          inner_(*this, loop, pool, std::move(inner)) {
      to_node_.sink = &inner_;
      to_invoker_.sink = this;
      if (inner_fd_ < 0)
        close_later();
    }
    void on_received(std::string_view bytes) override { to_node_.receive(bytes); }
    void on_closed() override { side_ended(fd_, to_node_); }
    void side_ended(int& fd, Pipe& pipe) {
      fd = -1;
      pipe.source_ended();
      if (fd_ < 0 && inner_fd_ < 0)
        relay_.server_.remove(*this);
    }
  };

  net::EventLoop& loop_;
  std::string target_;
  Random random_;
  Mode mode_[2] = {Mode::open, Mode::open};
  Millis delay_[2] = {Millis(0), Millis(0)};
  net::BufferPool pool_;
  LoopbackServer<Peer, Relay> server_;
};

}  // namespace lotusyard::test
