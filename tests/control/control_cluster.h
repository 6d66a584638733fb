// Control nodes and invokers on one event loop, with a relay in front of every node for each invoker. The
// test acts as the group: it applies the same changes at all nodes and renews their leases.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "control/node_server.h"
#include "control/relay.h"
#include "control/session_client.h"

namespace lotusyard::test {

class ControlCluster {
 public:
  struct Invoker {
    metrics::Counters counters;
    std::vector<std::unique_ptr<Relay>> relays;  // one to each node
    std::unique_ptr<control::SessionClient> client;

    control::Session& session() { return client->session(); }
    const control::Records& records() { return client->replica().records(); }
  };

  explicit ControlCluster(Millis lease = Millis(600)) {
    terms.lease = lease;
    terms.max_attempt_time = Millis(100);
  }

  // Adds a node that starts with the current state.
  control::NodeServer& add_node(control::NodeServer::Limits limits = control::NodeServer::Limits(),
                                std::size_t sessions = 1200) {
    control::ControlNode::Config config;
    config.cluster = "yard";
    config.self = {"n" + std::to_string(nodes.size()), "", "", ""};
    config.terms = terms;
    config.sessions.max_sessions = sessions;
    nodes.push_back(std::make_unique<control::NodeServer>(loop, counters, config, limits));
    REQUIRE(nodes.back()->listen("127.0.0.1:0"));
    nodes.back()->node().reset(index, records);
    return *nodes.back();
  }
  Invoker& add_invoker() {
    invokers.push_back(std::make_unique<Invoker>());
    Invoker& added = *invokers.back();
    control::Session::Config config;
    config.cluster = "yard";
    config.invoker = "i" + std::to_string(invokers.size());
    config.incarnation = invokers.size();
    config.terms = terms;
    config.pacing.max_initial_backoff = Millis(100);
    config.pacing.max_backoff = Millis(400);
    for (const auto& node : nodes) {
      added.relays.push_back(std::make_unique<Relay>(loop, node->address(), invokers.size()));
      const std::string name = "n" + std::to_string(config.nodes.size());
      config.nodes.push_back({name, added.relays.back()->address(), "", ""});
    }
    added.client = std::make_unique<control::SessionClient>(loop, added.counters, config, invokers.size());
    return added;
  }
  control::Open open_message() const {
    control::Open out;
    out.cluster = "yard";
    out.invoker = "raw";
    out.incarnation = 1;
    out.terms = terms;
    return out;
  }

  void change(const std::string& key, const std::string& value) {
    const control::Change change = {{key, value}};
    control::apply(records, change);
    ++index;
    for (const auto& node : nodes) {
      if (node)
        node->node().apply(index, change);
    }
  }
  void run_once() {
    for (const auto& node : nodes) {
      if (node)
        node->node().set_lease(loop.now() + terms.lease);
    }
    loop.run_once(loop.now() + Millis(5), [] {});
  }
  template <typename Condition>
  bool run_until(const Condition& condition, Millis timeout = Millis(10000)) {
    const Millis end = loop.now() + timeout;
    while (loop.now() < end) {
      if (condition())
        return true;
      run_once();
    }
    return condition();
  }
  void wait(Millis time) {
    run_until([] { return false; }, time);
  }
  bool up_to_date(Invoker& invoker) {
    return invoker.session().holds_lease(loop.now()) && invoker.records() == records;
  }
  bool all_up_to_date() {
    return std::all_of(invokers.begin(), invokers.end(), [&](const auto& one) { return up_to_date(*one); });
  }

  net::EventLoop loop;
  metrics::Counters counters;  // of all nodes
  raft::LeaseTerms terms;
  control::Records records = {{"first", "record"}};
  control::Index index = 1;
  std::vector<std::unique_ptr<control::NodeServer>> nodes;  // null: was killed
  std::vector<std::unique_ptr<Invoker>> invokers;
};

}  // namespace lotusyard::test
