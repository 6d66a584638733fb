// A TCP relay on the test's own loop. Each of its two ways can be held, delayed and cut by itself, and all
// its connections can be closed or reset. Random choices come from a fixed seed.
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
  enum class Way { to_node, to_invoker };
  // held: what comes waits here. cut: what comes is lost, and nobody is told; a connection that has lost
  // something ends once its way is open again, since a stream cannot lack bytes in its middle.
  enum class Mode { open, held, cut };

  Relay(net::EventLoop& loop, std::string to, std::uint64_t seed)
      : loop_(loop), to_(std::move(to)), random_(seed), pool_(kBlocks), server_(loop, pool_, *this) {}

  const std::string& address() const { return server_.address(); }
  std::size_t connections() const { return server_.peers.size(); }
  void set(Way way, Mode mode) {
    mode_[index(way)] = mode;
    for (const auto& peer : server_.peers)
      peer->mode_changed();
  }
  // Every piece waits for a time drawn at random up to `most`; the order stays.
  void delay(Way way, Millis most) { delay_[index(way)] = most; }
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
  static std::size_t index(Way way) { return way == Way::to_node ? 0 : 1; }

  // One way of one connection.
  class Pipe {
   public:
    Pipe(Relay& relay, Way way) : relay_(relay), way_(way) {}
    ~Pipe() { relay_.loop_.cancel(timer_); }
    net::BufferedConnection* sink = nullptr;

    void take(std::string_view bytes) {
      lost_ = lost_ || mode() == Mode::cut;
      if (lost_)
        return;
      const Millis most = relay_.delay_[index(way_)];
      if (most.count() > 0) {
        const std::size_t part = below(relay_.random_, bytes.size());
        queue(bytes.substr(0, part), most);
        bytes.remove_prefix(part);
      }
      queue(bytes, most);
      forward();
    }
    void source_ended() {
      source_ended_ = true;
      forward();
    }
    // Passes on what is due.
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
    bool must_end() const { return lost_ && mode() == Mode::open; }

   private:
    struct Piece {
      Millis due;
      std::string bytes;
    };
    Relay& relay_;
    Way way_;
    std::deque<Piece> waiting_;
    net::EventLoop::TimerId timer_{};
    Millis last_due_{0};
    bool lost_ = false, source_ended_ = false;

    Mode mode() const { return relay_.mode_[index(way_)]; }
    void queue(std::string_view bytes, Millis most) {
      if (bytes.empty())
        return;
      const double share = static_cast<double>(below(relay_.random_, 1000)) / 1000;
      last_due_ = std::max(last_due_, relay_.loop_.now() + most * share);
      waiting_.push_back({last_due_, std::string(bytes)});
    }
  };

  // The two connections that belong together: this one is the invoker's.
  class Peer final : public net::BufferedConnection {
   public:
    Peer(Relay& relay, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : Peer(relay, loop, pool, std::move(socket), net::connect_to(relay.to_).socket) {}
    void mode_changed() {
      if (to_node_.must_end() || to_invoker_.must_end())
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
      void on_received(std::string_view bytes) override { peer_.to_invoker_.take(bytes); }
      void on_closed() override { peer_.side_ended(peer_.inner_fd_, peer_.to_invoker_); }
      Peer& peer_;
    };
    Relay& relay_;
    int fd_, inner_fd_;  // -1: ended
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
          to_node_(relay, Way::to_node),
          to_invoker_(relay, Way::to_invoker),
          inner_(*this, loop, pool, std::move(inner)) {
      to_node_.sink = &inner_;
      to_invoker_.sink = this;
      if (inner_fd_ < 0)
        close_later();
    }
    void on_received(std::string_view bytes) override { to_node_.take(bytes); }
    void on_closed() override { side_ended(fd_, to_node_); }
    void side_ended(int& fd, Pipe& pipe) {
      fd = -1;
      pipe.source_ended();
      if (fd_ < 0 && inner_fd_ < 0)
        relay_.server_.remove(*this);
    }
  };

  net::EventLoop& loop_;
  std::string to_;
  Random random_;
  Mode mode_[2] = {Mode::open, Mode::open};
  Millis delay_[2] = {Millis(0), Millis(0)};
  net::BufferPool pool_;
  LoopbackServer<Peer, Relay> server_;
};

}  // namespace lotusyard::test
