// Fixture for a session: a transport that records what is sent, and a clock that the test advances.
#pragma once

#include <catch2/catch.hpp>
#include <memory>

#include "control/message_codec.h"
#include "control/session.h"

namespace lotusyard::test {

using control::Index;
using control::Millis;
using control::NodeAddress;
using control::Session;

class RecordingTransport final : public Session::Transport {
 public:
  void connect(const NodeAddress& node) override {
    CHECK_FALSE(connected);  // one connection at a time
    connected = true;
    connects.push_back(node);
  }
  void send(const std::string& frame) override {
    CHECK(connected);
    control::MessageReader reader(control::kMaxFrameBytesToNode);
    REQUIRE(reader.parse(frame, sent));
  }
  void disconnect() override {
    CHECK(connected);
    connected = false;
    ++disconnects;
  }
  bool connected = false;
  int disconnects = 0;
  std::vector<NodeAddress> connects;
  std::vector<control::Message> sent;
};

inline NodeAddress node_at(const std::string& name, const std::string& zone, const std::string& region) {
  return {name, name + ":7000", zone, region};
}

struct SessionFixture {
  RecordingTransport transport;
  control::Replica replica;
  metrics::Counters counters;
  Session::Config config;
  Millis now{10000};
  std::unique_ptr<Session> session;

  explicit SessionFixture(std::vector<NodeAddress> nodes = {node_at("a", "z1", "r1"),
                                                            node_at("b", "z2", "r1")},
                          std::uint64_t seed = 1) {
    config.cluster = "blue";
    config.invoker = "i1";
    config.zone = "z1";
    config.region = "r1";
    config.incarnation = 7;
    config.nodes = std::move(nodes);
    start(seed);
  }
  void start(std::uint64_t seed) {
    session = std::make_unique<Session>(config, transport, replica, counters, seed, now);
  }
  Millis lease() const { return config.terms.lease; }
  Millis heartbeat_interval() const { return config.terms.heartbeat_interval(); }

  // Advances the clock by `span` and ticks whenever the session is due.
  void run(Millis span) {
    const Millis end = now + span;
    while (session->due() <= end) {
      now = std::max(now, session->due());
      session->tick(now);
    }
    now = end;
  }
  // Ticks until the session connects to a node, and returns the name of the node.
  std::string next_connect() {
    const std::size_t before = transport.connects.size();
    for (int i = 0; i < 100 && transport.connects.size() == before; ++i) {
      now = std::max(now, session->due());
      session->tick(now);
    }
    REQUIRE(transport.connects.size() == before + 1);
    return transport.connects.back().name;
  }
  void welcome(std::vector<NodeAddress> nodes = {}) {
    session->on_connected(now);
    session->on_message(control::Welcome{transport.connects.back().name, 1, std::move(nodes)}, now);
  }
  std::string open() {
    const std::string node = next_connect();
    welcome();
    return node;
  }
  void drop_connection() {
    transport.connected = false;
    session->on_disconnected(now);
  }
  void grant(std::uint64_t sequence, Millis duration) {
    session->on_message(control::Grant{sequence, duration}, now);
  }
  // Grants the last renewal.
  void grant_last(Millis duration) { grant(sent<control::Renew>().back().sequence, duration); }
  // The same as run(); every renewal is granted at once, for `duration`.
  void run_granting(Millis span, Millis duration) {
    const Millis end = now + span;
    while (session->open() && session->due() <= end) {
      now = std::max(now, session->due());
      session->tick(now);
      if (session->open())
        grant_last(duration);
    }
    now = std::max(now, end);
  }
  void snapshot(Index index) {
    const std::string bytes = control::encode_records({{"k", "v" + std::to_string(index)}});
    session->on_message(control::SnapshotChunk{index, 0, bytes.size(), bytes}, now);
  }
  void delta(Index after, Index index) {
    const std::string bytes = control::encode_change({{"k", "v" + std::to_string(index)}});
    session->on_message(control::Delta{after, index, bytes}, now);
  }
  template <typename Kind>
  std::vector<Kind> sent() const {
    std::vector<Kind> out;
    for (const control::Message& message : transport.sent) {
      if (const Kind* one = std::get_if<Kind>(&message))
        out.push_back(*one);
    }
    return out;
  }
  std::uint64_t count(const std::string& name) const { return counters.value("control.session." + name); }
};

}  // namespace lotusyard::test
