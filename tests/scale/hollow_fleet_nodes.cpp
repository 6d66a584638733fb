// The nodes of a hollow fleet: they apply the log, report to the leader and serve their connections.
#include "control/message_codec.h"
#include "scale/hollow_fleet.h"

namespace lotusyard::test {
namespace {

constexpr double kTickInterval = 1000;
// At most so many entries lie between a restarted node's snapshot and what it had applied before.
constexpr Index kMaxSnapshotAge = 40;
constexpr double kDrainDuration = 5000;

}  // namespace

template <typename Call>
void HollowFleet::call_node(HollowNode& node, const Call& call) {
  const Millis local = node.clock.local_time(now());
  node.cpu.start();
  call(*node.control, local);
  node.cpu.stop();
  dispatch(node);
}

void HollowFleet::dispatch(HollowNode& node) {
  for (auto& out : std::exchange(node.outbox, {})) {
    HollowConnection* connection = network_.find(out.connection);
    if (connection == nullptr)
      continue;
    if (out.packet.kind == Packet::Kind::end) {
      node.readers.erase(out.connection);
      network_.end(*connection, Direction::to_invoker);
      continue;
    }
    ++node.traffic.messages_sent;
    node.traffic.bytes_sent += out.packet.frame.size();
    network_.send(*connection, Direction::to_invoker, std::move(out.packet));
  }
}

void HollowFleet::start_node(std::size_t number) {
  HollowNode& node = *nodes_[number];
  if (node.up())
    return;
  control::ControlNode::Config config;
  config.cluster = "hollow";
  config.self = node.address;
  config.incarnation = ++node.incarnation;
  config.terms = options_.terms;
  config.sessions = options_.sessions;
  config.changes = options_.changes;
  node.unreachable = node.stopped = false;
  node.lease_end = 0;
  node.control =
      std::make_unique<control::ControlNode>(config, node, node.counters, node.clock.local_time(now()));
  const Index age = node.incarnation == 1 ? 0 : 1 + random_below(kMaxSnapshotAge);
  node.applied_index =
      std::max<Index>(AgreedLog::first_index, node.applied_index > age ? node.applied_index - age : 0);
  std::vector<control::NodeAddress> all;
  for (const auto& other : nodes_)
    all.push_back(other->address);
  const auto state = log_.state(node.applied_index);
  call_node(node, [&](control::ControlNode& control, Millis) {
    control.set_nodes(all);
    control.reset(node.applied_index, *state);
  });
  if (network_.is_reachable(log_site_, node.endpoint)) {
    const double delay = network_.latency(log_site_, node.endpoint);
    at(now() + delay, [this, target = &node, index = log_.last()] { apply_until(*target, index); });
  }
  send_heartbeats_periodically(number, node.incarnation);
  tick_periodically(number, node.incarnation);
}

void HollowFleet::kill_node(std::size_t number, bool resets) {
  HollowNode& node = *nodes_[number];
  if (!node.up())
    return;
  node.control.reset();
  node.outbox.clear();
  node.deferred_while_stopped.clear();
  node.readers.clear();
  node.unreachable = !resets;
  for (const std::uint64_t id : network_.connections_of(node.endpoint)) {
    HollowConnection& connection = *network_.find(id);
    if (resets) {
      network_.end(connection, Direction::to_invoker);
    } else {
      connection.channel(Direction::to_node).ended = true;
    }
  }
}

void HollowFleet::drain_node(std::size_t number) {
  HollowNode& node = *nodes_[number];
  if (!node.up() || node.stopped)
    return;
  call_node(node, [](control::ControlNode& control, Millis) { control.shut_down(); });
  at(now() + kDrainDuration, [this, number, incarnation = node.incarnation] {
    if (nodes_[number]->incarnation == incarnation)
      kill_node(number);
  });
}

void HollowFleet::stop_node(std::size_t number, double span) {
  HollowNode& node = *nodes_[number];
  if (!node.up() || node.stopped)
    return;
  node.stopped = true;
  at(now() + span, [this, target = &node, incarnation = node.incarnation] {
    if (target->incarnation != incarnation || !target->up())
      return;
    target->stopped = false;
    const bool reports_first = random_below(2) == 0;
    if (reports_first)
      send_heartbeat(*target);
    for (auto& deferred : std::exchange(target->deferred_while_stopped, {}))
      deferred();
    if (network_.is_reachable(log_site_, target->endpoint))
      apply_until(*target, log_.last());
  });
}

void HollowFleet::send_heartbeat(HollowNode& node) {
  NodeReport report;
  report.node = node.endpoint.number;
  report.incarnation = node.incarnation;
  report.stamp = node.clock.local_time(now());
  call_node(node,
            [&](control::ControlNode& control, Millis local) { report.floors = control.floors(local); });
  if (!network_.is_reachable(node.endpoint, log_site_))
    return;
  const double delay = network_.latency(node.endpoint, log_site_) + node.endpoint.extra_delay;
  at(now() + delay, [this, report] { leader_.on_report(report); });
}

void HollowFleet::send_heartbeats_periodically(std::size_t number, std::uint64_t incarnation) {
  HollowNode& node = *nodes_[number];
  if (node.incarnation != incarnation || !node.up())
    return;
  if (!node.stopped)
    send_heartbeat(node);
  at(now() + options_.terms.heartbeat_interval().count(),
     [this, number, incarnation] { send_heartbeats_periodically(number, incarnation); });
}

void HollowFleet::tick_periodically(std::size_t number, std::uint64_t incarnation) {
  HollowNode& node = *nodes_[number];
  if (node.incarnation != incarnation || !node.up())
    return;
  if (!node.stopped)
    call_node(node, [](control::ControlNode& control, Millis local) { control.tick(local); });
  at(now() + kTickInterval, [this, number, incarnation] { tick_periodically(number, incarnation); });
}

void HollowFleet::apply_until(HollowNode& node, Index until) {
  if (!node.up() || node.stopped)
    return;
  while (node.applied_index < until) {
    ++node.applied_index;
    apply_entry(node, log_.entry(node.applied_index));
  }
}

void HollowFleet::apply_entry(HollowNode& node, const LogEntry& entry) {
  call_node(node, [&](control::ControlNode& control, Millis) { control.apply(entry.index, entry.change); });
  for (const NodeReport& report : entry.reports) {
    if (report.node != node.endpoint.number || report.incarnation != node.incarnation)
      continue;
    const Millis until = report.stamp + options_.terms.lease;
    if (node.clock.true_time(until) <= node.lease_end)
      continue;
    node.lease_end = node.clock.true_time(until);
    call_node(node, [&](control::ControlNode& control, Millis) { control.set_lease(until); });
  }
}

void HollowFleet::arrived_at_node(HollowConnection& connection, Packet&& packet) {
  HollowNode& node = *nodes_[connection.node->number];
  if (!node.up()) {
    if (!node.unreachable)
      network_.end(connection, Direction::to_invoker);
    return;
  }
  if (packet.kind == Packet::Kind::connect) {
    connection.node_incarnation = node.incarnation;
    Packet accepted;  // sent by the kernel, also while the process is stopped
    accepted.kind = Packet::Kind::accepted;
    network_.send(connection, Direction::to_invoker, std::move(accepted));
  }
  if (connection.node_incarnation != node.incarnation)
    return network_.end(connection, Direction::to_invoker);
  if (!node.stopped)
    return handle_at_node(node, connection.id, packet);
  node.deferred_while_stopped.push_back(
      [this, target = &node, id = connection.id, deferred = std::move(packet)] {
        handle_at_node(*target, id, deferred);
      });
}

void HollowFleet::handle_at_node(HollowNode& node, std::uint64_t connection, const Packet& packet) {
  if (packet.kind == Packet::Kind::connect) {
    node.readers.emplace(connection, control::MessageReader(control::kMaxFrameBytesToNode));
    return call_node(node, [&](control::ControlNode& control, Millis) { control.on_connected(connection); });
  }
  const auto reader = node.readers.find(connection);
  if (reader == node.readers.end())
    return;  // the node has closed it
  if (packet.kind == Packet::Kind::end) {
    node.readers.erase(reader);
    return call_node(node,
                     [&](control::ControlNode& control, Millis) { control.on_disconnected(connection); });
  }
  ++node.traffic.messages_received;
  node.traffic.bytes_received += packet.frame.size();
  call_node(node, [&](control::ControlNode& control, Millis local) {
    std::vector<control::Message> messages;
    if (!reader->second.parse(packet.frame, messages))
      return control.on_malformed(connection);
    for (auto& message : messages)
      control.on_message(connection, std::move(message), local);
  });
}

void HollowFleet::became_writable(std::size_t number, std::uint64_t connection) {
  HollowNode& node = *nodes_[number];
  if (!node.up() || node.readers.count(connection) == 0)
    return;
  const auto notify = [this, target = &node, connection] {
    if (target->readers.count(connection) == 0)
      return;
    call_node(*target, [&](control::ControlNode& control, Millis) { control.on_writable(connection); });
  };
  if (node.stopped) {
    node.deferred_while_stopped.push_back(notify);
  } else {
    notify();
  }
}

}  // namespace lotusyard::test
