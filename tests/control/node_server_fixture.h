// Fixture for a control node that serves one well-behaved invoker while a test acts as other peers.
#pragma once

#include <memory>
#include <string>

#include "control/control_cluster.h"
#include "control/scripted_invoker.h"

namespace lotusyard::test {

using control::NodeServer;

struct NodeServerFixture {
  ControlCluster cluster;
  NodeServer& server;
  ControlCluster::Invoker& invoker;

  explicit NodeServerFixture(Millis lease = Millis(600), NodeServer::Limits limits = NodeServer::Limits(),
                             std::size_t sessions = 1200)
      : cluster(lease), server(cluster.add_node(limits, sessions)), invoker(cluster.add_invoker()) {
    REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  }
  std::uint64_t count(const std::string& counter) const { return cluster.counters.value(counter); }
  void check_invoker_unaffected() {
    cluster.change("still", std::to_string(cluster.index));
    CHECK(cluster.run_until([&] { return cluster.all_up_to_date(); }, Millis(2000)));
    CHECK(invoker.counters.value("control.session.opened") == 1);
  }
  // Returns a connection with an open session that has received all records.
  std::unique_ptr<ScriptedInvoker> open_session(std::uint64_t incarnation = 1) {
    auto raw = std::make_unique<ScriptedInvoker>(server.address());
    control::Open open = cluster.open_message();
    open.incarnation = incarnation;
    raw->send(open);
    const bool is_served = cluster.run_until(
        [&] {
          raw->read();
          return raw->first<control::SnapshotChunk>() != nullptr;
        },
        Millis(2000));
    REQUIRE(is_served);
    return raw;
  }
  bool run_until_closed(ScriptedInvoker& raw, Millis timeout = Millis(2000)) {
    return cluster.run_until(
        [&] {
          raw.read();
          return raw.ended;
        },
        timeout);
  }
};

}  // namespace lotusyard::test
