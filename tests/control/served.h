// A control node that serves one invoker that behaves, beside what a test does to it by hand.
#pragma once

#include <memory>
#include <string>

#include "control/control_cluster.h"
#include "control/scripted_invoker.h"

namespace lotusyard::test {

using control::NodeServer;

struct Served {
  ControlCluster tier;
  NodeServer& server;
  ControlCluster::Invoker& good;

  explicit Served(Millis lease = Millis(600), NodeServer::Limits limits = NodeServer::Limits(),
                  std::size_t sessions = 1200)
      : tier(lease), server(tier.add_node(limits, sessions)), good(tier.add_invoker()) {
    REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  }
  std::uint64_t count(const std::string& counter) const { return tier.counters.value(counter); }
  void check_good() {
    tier.change("still", std::to_string(tier.index));
    CHECK(tier.run_until([&] { return tier.all_up_to_date(); }, Millis(2000)));
    CHECK(good.counters.value("control.session.opened") == 1);
  }
  // A connection with an open session that holds all records.
  std::unique_ptr<ScriptedInvoker> opened(std::uint64_t incarnation = 1) {
    auto raw = std::make_unique<ScriptedInvoker>(server.address());
    control::Open open = tier.open_message();
    open.incarnation = incarnation;
    raw->send(open);
    const bool served = tier.run_until(
        [&] {
          raw->read();
          return raw->first<control::SnapshotChunk>() != nullptr;
        },
        Millis(2000));
    REQUIRE(served);
    return raw;
  }
  bool ends(ScriptedInvoker& raw, Millis most = Millis(2000)) {
    return tier.run_until(
        [&] {
          raw.read();
          return raw.ended;
        },
        most);
  }
};

}  // namespace lotusyard::test
