// A proxy in front of one member of a group, on the test's event loop, that drops the traffic of chosen peers
// or resets their connections.
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

// Forwards the connections of other members to the member at `target`.
class GroupRelay {
 public:
  GroupRelay(InvokerFixture& fixture, std::string target)
      : server(fixture.loop, fixture.pool, *this), fixture_(fixture), target_(std::move(target)) {}
  class Peer final : public net::BufferedConnection {
   public:
    Peer(GroupRelay& relay, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), relay_(relay), upstream_(relay) {
      upstream_.on_reply = [this](std::string_view bytes) {
        if (!drops_data)
          write(bytes);
      };
      upstream_.on_disconnected = [this] { close_later(); };
    }
    std::string from;
    bool drops_data = false;
    void disconnect() {
      upstream_.close_later();
      close_later();
    }

   private:
    struct Upstream final : net::BufferedConnection {
      explicit Upstream(GroupRelay& relay)
          : BufferedConnection(relay.fixture_.loop, relay.fixture_.pool,
                               net::connect_to(relay.target_).socket, true) {}
      void on_connected() override { loop().flush_later(*this); }
      void on_received(std::string_view bytes) override {
        if (on_reply)
          on_reply(bytes);
      }
      void on_closed() override {
        if (on_disconnected)
          on_disconnected();
      }
      std::function<void(std::string_view)> on_reply;
      std::function<void()> on_disconnected;
    };
    GroupRelay& relay_;
    Upstream upstream_;
    FrameParser parser_;
    void on_received(std::string_view bytes) override {
      if (from.empty()) {
        std::vector<Frame> frames;
        if (!parser_.parse(bytes, frames))
          return disconnect();
        if (!frames.empty())
          from = raft::decode_hello(frames[0].body).value_or(raft::Hello()).member;
      }
      if (relay_.cut.count(from) != 0)
        drops_data = true;  // data is dropped and the connection stays open
      if (drops_data)
        return;
      upstream_.write(bytes);
    }
    void on_closed() override {
      upstream_.close_later();
      relay_.server.remove(*this);
    }
  };
  void reset() {
    for (const auto& peer : server.peers)
      peer->disconnect();
  }
  void heal(const std::string& from) {
    cut.erase(from);
    for (const auto& peer : server.peers) {
      if (peer->drops_data)
        peer->disconnect();
    }
  }
  std::set<std::string> cut;  // members whose data is dropped
  LoopbackServer<Peer, GroupRelay> server;

 private:
  InvokerFixture& fixture_;
  std::string target_;
};

}  // namespace lotusyard::test
