// The nodes of a hollow fleet: they follow the log, report to the leader and serve their connections.
#include "scale/hollow_fleet.h"

namespace lotusyard::test {
namespace {

constexpr double kTickEvery = 1000;
constexpr Index kSnapshotAge = 40;  // a restarted node's own snapshot is so many entries older, at most
constexpr double kLeavingTakes = 5000;

}  // namespace

template <typename Call>
void HollowFleet::call_node(HollowNode& node, const Call& call) {
  const Millis local = node.clock.local(now());
  node.cpu.start();
  call(*node.control, local);
  node.cpu.stop();
  dispatch(node);
}

void HollowFleet::dispatch(HollowNode& node) {
  for (auto& out : std::exchange(node.outbox, {})) {
    Link* link = network_.find(out.link);
    if (link == nullptr)
      continue;
    if (out.packet.kind == Packet::Kind::end) {
      node.readers.erase(out.link);
      network_.end(*link, Direction::to_invoker);
      continue;
    }
    ++node.traffic.messages_sent;
    node.traffic.bytes_sent += out.packet.frame.size();
    network_.send(*link, Direction::to_invoker, std::move(out.packet));
  }
}

void HollowFleet::start_node(std::size_t number) {
  HollowNode& node = *nodes_[number];
  if (node.up())
    return;
  control::ControlNode::Config config;
  config.cluster = "hollow";
  config.self = node.address;
  config.life = ++node.life;
  config.terms = options_.terms;
  config.sessions = options_.sessions;
  config.changes = options_.changes;
  node.gone = node.stopped = false;
  node.lease_end = 0;
  node.control = std::make_unique<control::ControlNode>(config, node, node.counters, node.clock.local(now()));
  const Index age = node.life == 1 ? 0 : 1 + below(kSnapshotAge);
  node.followed = std::max<Index>(AgreedLog::first_index, node.followed > age ? node.followed - age : 0);
  std::vector<control::NodeAddress> all;
  for (const auto& other : nodes_)
    all.push_back(other->address);
  const auto state = log_.state(node.followed);
  call_node(node, [&](control::ControlNode& control, Millis) {
    control.set_nodes(all);
    control.reset(node.followed, *state);
  });
  if (network_.passes(log_site_, node.endpoint)) {
    const double delay = network_.latency(log_site_, node.endpoint);
    at(now() + delay, [this, target = &node, index = log_.last()] { follow(*target, index); });
  }
  beat_by_turns(number, node.life);
  tick_by_turns(number, node.life);
}

void HollowFleet::kill_node(std::size_t number, bool resets) {
  HollowNode& node = *nodes_[number];
  if (!node.up())
    return;
  node.control.reset();
  node.outbox.clear();
  node.while_stopped.clear();
  node.readers.clear();
  node.gone = !resets;
  for (const std::uint64_t id : network_.links_of(node.endpoint)) {
    Link& link = *network_.find(id);
    if (resets) {
      network_.end(link, Direction::to_invoker);
    } else {
      link.way(Direction::to_node).ended = true;
    }
  }
}

void HollowFleet::leave_node(std::size_t number) {
  HollowNode& node = *nodes_[number];
  if (!node.up() || node.stopped)
    return;
  call_node(node, [](control::ControlNode& control, Millis) { control.leave(); });
  at(now() + kLeavingTakes, [this, number, life = node.life] {
    if (nodes_[number]->life == life)
      kill_node(number);
  });
}

void HollowFleet::stop_node(std::size_t number, double span) {
  HollowNode& node = *nodes_[number];
  if (!node.up() || node.stopped)
    return;
  node.stopped = true;
  at(now() + span, [this, target = &node, life = node.life] {
    if (target->life != life || !target->up())
      return;
    target->stopped = false;
    const bool reports_first = below(2) == 0;
    if (reports_first)
      beat(*target);
    for (auto& late : std::exchange(target->while_stopped, {}))
      late();
    if (network_.passes(log_site_, target->endpoint))
      follow(*target, log_.last());
  });
}

void HollowFleet::beat(HollowNode& node) {
  NodeReport report;
  report.node = node.endpoint.number;
  report.life = node.life;
  report.stamp = node.clock.local(now());
  call_node(node,
            [&](control::ControlNode& control, Millis local) { report.floors = control.floors(local); });
  if (!network_.passes(node.endpoint, log_site_))
    return;
  const double delay = network_.latency(node.endpoint, log_site_) + node.endpoint.extra_delay;
  at(now() + delay, [this, report] { leader_.heard(report); });
}

void HollowFleet::beat_by_turns(std::size_t number, std::uint64_t life) {
  HollowNode& node = *nodes_[number];
  if (node.life != life || !node.up())
    return;
  if (!node.stopped)
    beat(node);
  at(now() + options_.terms.heartbeat_interval().count(),
     [this, number, life] { beat_by_turns(number, life); });
}

void HollowFleet::tick_by_turns(std::size_t number, std::uint64_t life) {
  HollowNode& node = *nodes_[number];
  if (node.life != life || !node.up())
    return;
  if (!node.stopped)
    call_node(node, [](control::ControlNode& control, Millis local) { control.tick(local); });
  at(now() + kTickEvery, [this, number, life] { tick_by_turns(number, life); });
}

void HollowFleet::follow(HollowNode& node, Index until) {
  if (!node.up() || node.stopped)
    return;
  while (node.followed < until) {
    ++node.followed;
    apply_entry(node, log_.entry(node.followed));
  }
}

void HollowFleet::apply_entry(HollowNode& node, const LogEntry& entry) {
  call_node(node, [&](control::ControlNode& control, Millis) { control.applied(entry.index, entry.change); });
  for (const NodeReport& report : entry.reports) {
    if (report.node != node.endpoint.number || report.life != node.life)
      continue;
    const Millis until = report.stamp + options_.terms.lease;
    if (node.clock.truth(until) <= node.lease_end)
      continue;
    node.lease_end = node.clock.truth(until);
    call_node(node, [&](control::ControlNode& control, Millis) { control.set_lease(until); });
  }
}

void HollowFleet::arrived_at_node(Link& link, Packet&& packet) {
  HollowNode& node = *nodes_[link.node->number];
  if (!node.up()) {
    if (!node.gone)
      network_.end(link, Direction::to_invoker);
    return;
  }
  if (packet.kind == Packet::Kind::connect) {
    link.node_life = node.life;
    Packet accepted;  // by the kernel, also while the process is stopped
    accepted.kind = Packet::Kind::accepted;
    network_.send(link, Direction::to_invoker, std::move(accepted));
  }
  if (link.node_life != node.life)
    return network_.end(link, Direction::to_invoker);
  if (!node.stopped)
    return take_at_node(node, link.id, packet);
  node.while_stopped.push_back(
      [this, target = &node, id = link.id, late = std::move(packet)] { take_at_node(*target, id, late); });
}

void HollowFleet::take_at_node(HollowNode& node, std::uint64_t link, const Packet& packet) {
  if (packet.kind == Packet::Kind::connect) {
    node.readers.emplace(link, control::MessageReader(control::longest_to_node));
    return call_node(node, [&](control::ControlNode& control, Millis) { control.opened(link); });
  }
  const auto reader = node.readers.find(link);
  if (reader == node.readers.end())
    return;  // the node has ended it
  if (packet.kind == Packet::Kind::end) {
    node.readers.erase(reader);
    return call_node(node, [&](control::ControlNode& control, Millis) { control.ended(link); });
  }
  ++node.traffic.messages_received;
  node.traffic.bytes_received += packet.frame.size();
  call_node(node, [&](control::ControlNode& control, Millis local) {
    std::vector<control::Message> messages;
    if (!reader->second.parse(packet.frame, messages))
      return control.malformed(link);
    for (auto& message : messages)
      control.received(link, std::move(message), local);
  });
}

void HollowFleet::became_writable(std::size_t number, std::uint64_t link) {
  HollowNode& node = *nodes_[number];
  if (!node.up() || node.readers.count(link) == 0)
    return;
  const auto tell = [this, target = &node, link] {
    if (target->readers.count(link) == 0)
      return;
    call_node(*target, [&](control::ControlNode& control, Millis) { control.writable(link); });
  };
  if (node.stopped) {
    node.while_stopped.push_back(tell);
  } else {
    tell();
  }
}

}  // namespace lotusyard::test
