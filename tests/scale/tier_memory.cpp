// Memory of sessions and replicas as reported by the allocator. Run by name, in a Release build without
// sanitizers: [scale-measure].
#include <malloc.h>

#include <catch2/catch.hpp>

#include "control/control_node.h"
#include "control/session.h"
#include "scale/figures.h"

namespace lotusyard::test {
namespace {

using control::Millis;

constexpr std::size_t kSessions = 1000, kInvokers = 50;
constexpr control::Index kIndex = 100;
const Millis kNow{1e6};

class NullNodeTransport : public control::ControlNode::Transport {
 public:
  void send(std::uint64_t, const std::string&) override {}
  bool has_room(std::uint64_t) const override { return true; }
  void close(std::uint64_t) override {}
};

class NullInvokerTransport : public control::Session::Transport {
 public:
  void connect(const control::NodeAddress&) override {}
  void send(const std::string&) override {}
  void disconnect() override {}
};

double allocated() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

control::Records records_of(std::size_t count) {
  control::Records out;
  for (std::size_t i = 0; i < count; ++i) {
    std::string number = std::to_string(i);
    out["record." + std::string(5 - number.size(), '0') + number] = std::string(100, 'x');
  }
  return out;
}

std::vector<control::NodeAddress> nodes_of(std::size_t count) {
  std::vector<control::NodeAddress> out;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    out.push_back({"node-" + number, "10.0.0." + number + ":7800", "zone-" + std::to_string(i % 11),
                   "region-" + std::to_string(i % 5)});
  }
  return out;
}

RunLabel label_of(std::size_t count, std::size_t records) {
  return {"memory", count, 28, 0, 0, {{"records", records}}};
}

void open_sessions(control::ControlNode& node) {
  for (std::uint64_t connection = 1; connection <= kSessions; ++connection) {
    control::Open open;
    open.cluster = "hollow";
    open.invoker = "invoker-" + std::to_string(connection);
    open.zone = "zone-1";
    open.incarnation = connection;
    open.position = kIndex;
    node.on_connected(connection);
    node.on_message(connection, open, kNow);
    node.on_message(connection, control::Renew{1, kIndex, kIndex}, kNow);
  }
}

void measure_node(std::size_t records) {
  NullNodeTransport transport;
  metrics::Counters counters;
  control::ControlNode::Config config;
  config.cluster = "hollow";
  config.self = nodes_of(1).front();
  config.sessions.open_burst = kSessions;
  const double empty = allocated();
  control::ControlNode node(config, transport, counters, kNow);
  node.set_nodes(nodes_of(28));
  node.reset(kIndex, records_of(records));
  node.set_lease(kNow + Millis(3000));
  const double before = allocated();
  open_sessions(node);
  REQUIRE(node.sessions().connected() == kSessions);
  const double after = allocated();
  print_value(label_of(kSessions, records), "node", "bytes_without_sessions", before - empty);
  print_value(label_of(kSessions, records), "node", "bytes_for_each_session", (after - before) / kSessions);
}

struct MeasuredInvoker {
  NullInvokerTransport transport;
  metrics::Counters counters;
  control::Replica replica;
  std::unique_ptr<control::Session> session;
};

std::unique_ptr<MeasuredInvoker> invoker_with(const std::string& snapshot) {
  auto out = std::make_unique<MeasuredInvoker>();
  control::Session::Config config;
  config.cluster = "hollow";
  config.invoker = "invoker-1";
  config.nodes = nodes_of(3);
  out->session =
      std::make_unique<control::Session>(config, out->transport, out->replica, out->counters, 1, kNow);
  out->session->tick(out->session->due());
  out->session->on_connected(kNow);
  out->session->on_message(control::Welcome{"node-1", 1, nodes_of(28)}, kNow);
  control::SnapshotChunk chunk{kIndex, 0, snapshot.size(), {}};
  for (; chunk.offset < snapshot.size(); chunk.offset += chunk.bytes.size()) {
    chunk.bytes = snapshot.substr(chunk.offset, 32U << 10);
    out->session->on_message(chunk, kNow);
  }
  return out;
}

void measure_invokers(std::size_t records) {
  const std::string snapshot = control::encode_records(records_of(records));
  std::vector<std::unique_ptr<MeasuredInvoker>> invokers;
  invokers.reserve(kInvokers);
  const double before = allocated();
  for (std::size_t i = 0; i < kInvokers; ++i)
    invokers.push_back(invoker_with(snapshot));
  const double after = allocated();
  for (const auto& invoker : invokers)
    REQUIRE(invoker->replica.records().size() == records);
  const RunLabel label = label_of(kInvokers, records);
  print_value(label, "invoker", "bytes_of_session_and_replica", (after - before) / kInvokers);
  print_value(label, "invoker", "bytes_of_encoded_records", static_cast<double>(snapshot.size()));
}

}  // namespace

TEST_CASE("memory by number of records", "[.][scale-measure]") {
  for (const std::size_t records : {0, 100, 1000, 4096}) {
    measure_node(records);
    if (records > 0)
      measure_invokers(records);
  }
}

}  // namespace lotusyard::test
