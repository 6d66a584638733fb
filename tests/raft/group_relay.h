// A relay on the test's own loop that stands before one member of a group and cuts and resets what the other
// members send it.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "raft/frame.h"
#include "support/invoker_fixture.h"
#include "support/loopback_server.h"

namespace lotusyard::test {

using raft::Frame;
using raft::FrameParser;

// Stands before one member: what others send it comes through here, and can be cut, delayed and reset.
class GroupRelay {
 public:
  GroupRelay(InvokerFixture& fixture, std::string to)
      : server(fixture.loop, fixture.pool, *this), fixture_(fixture), to_(std::move(to)) {}
  class Peer final : public net::BufferedConnection {
   public:
    Peer(GroupRelay& relay, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), relay_(relay), inner_(relay) {
      inner_.back = [this](std::string_view more) {
        if (!dead)
          write(more);
      };
      inner_.gone = [this] { close_later(); };
    }
    std::string from;
    bool dead = false;
    void over() {
      inner_.close_later();
      close_later();
    }

   private:
    struct Inner final : net::BufferedConnection {
      explicit Inner(GroupRelay& relay)
          : BufferedConnection(relay.fixture_.loop, relay.fixture_.pool, net::connect_to(relay.to_).socket,
                               true) {}
      void on_connected() override { loop().flush_later(*this); }
      void on_received(std::string_view bytes) override {
        if (back)
          back(bytes);
      }
      void on_closed() override {
        if (gone)
          gone();
      }
      std::function<void(std::string_view)> back;
      std::function<void()> gone;
    };
    GroupRelay& relay_;
    Inner inner_;
    FrameParser parser_;
    void on_received(std::string_view bytes) override {
      if (from.empty()) {
        std::vector<Frame> frames;
        if (!parser_.parse(bytes, frames))
          return over();
        if (!frames.empty())
          from = raft::decode_hello(frames[0].body).value_or(raft::Hello()).member;
      }
      if (relay_.cut.count(from) != 0)
        dead = true;  // whatever comes is lost, and nobody is told
      if (dead)
        return;
      inner_.write(bytes);
    }
    void on_closed() override {
      inner_.close_later();
      relay_.server.remove(*this);
    }
  };
  void reset() {
    for (const auto& peer : server.peers)
      peer->over();
  }
  void heal(const std::string& from) {
    cut.erase(from);
    for (const auto& peer : server.peers) {
      if (peer->dead)
        peer->over();
    }
  }
  std::set<std::string> cut;  // members from whom nothing comes through
  LoopbackServer<Peer, GroupRelay> server;

 private:
  InvokerFixture& fixture_;
  std::string to_;
};

}  // namespace lotusyard::test
