// Fixture for a control node that has one record as of index 10 and a lease, long after its start.
#pragma once

#include "catch2/catch.hpp"
#include "control/node_transport.h"

namespace lotusyard::test {

using namespace control;  // nearly every name of it is used

inline const Millis kLongAfterStart(100000);  // sessions of an earlier process no longer count

struct NodeFixture {
  NodeTransport transport;
  metrics::Counters counters;
  ControlNode node;
  Millis now = kLongAfterStart;

  explicit NodeFixture(ControlNode::Config config = default_config())
      : node(std::move(config), transport, counters, Millis(0)) {
    node.reset(10, {{"k", "10"}});
    node.set_lease(kLongAfterStart * 2);
  }
  static ControlNode::Config default_config() {
    ControlNode::Config out;
    out.cluster = "c";
    out.self = {"n1", "10.0.0.1:1", "z", "r"};
    out.incarnation = 7;
    out.snapshot_chunk = 8;
    return out;
  }
  static Open open_message(Index position, const std::string& invoker = "a", std::uint64_t incarnation = 1) {
    Open out;
    out.cluster = "c";
    out.invoker = invoker;
    out.incarnation = incarnation;
    out.position = position;
    return out;
  }
  void open(std::uint64_t connection, const Open& message) {
    node.on_connected(connection);
    node.on_message(connection, message, now);
  }
  void welcome(std::uint64_t connection, const Open& message) {
    open(connection, message);
    REQUIRE(transport.next<Welcome>(connection).node == "n1");
  }
  void change(Index index) { node.apply(index, {{"k", std::to_string(index)}}); }
  void receive(std::uint64_t connection, Message message) {
    node.on_message(connection, std::move(message), now);
  }
  std::uint64_t count(const std::string& name) const { return counters.value("control." + name); }
  void check_refused(std::uint64_t connection, const std::string& reason) {
    const auto refusal = transport.next<Refusal>(connection);
    CHECK(name_of(refusal.reason) == reason);
    CHECK(count("refused." + reason) == 1);
    CHECK(transport.ended(connection));
  }
  void check_fault(std::uint64_t connection, const std::string& counter) {
    CHECK(count(counter) == 1);
    CHECK(transport.ended(connection));
    CHECK(node.sessions().connected() == 0);
  }
};

}  // namespace lotusyard::test
