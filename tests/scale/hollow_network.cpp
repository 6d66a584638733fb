#include "scale/hollow_network.h"

namespace lotusyard::test {
namespace {

constexpr double kLongestRepeatDelay = 3000;
constexpr std::size_t kKindAt = 4;  // offset in a frame, after its length
constexpr char kDeltaKind = 7;

bool is_delta(const Packet& packet) {
  return packet.kind == Packet::Kind::frame && packet.frame[kKindAt] == kDeltaKind;
}

}  // namespace

double HollowNetwork::latency(const Endpoint& from, const Endpoint& to) {
  if (from.zone == to.zone && from.zone >= 0)
    return uniform(1, 5);
  if (from.region == to.region && from.region >= 0)
    return uniform(2, 30);
  return uniform(30, 120);
}

HollowConnection& HollowNetwork::open(const Endpoint& invoker, std::uint64_t invoker_incarnation,
                                      const Endpoint& node) {
  HollowConnection& connection = connections_[++last_id_];
  connection.id = last_id_;
  connection.invoker = &invoker;
  connection.node = &node;
  connection.invoker_incarnation = invoker_incarnation;
  connection.latency = latency(invoker, node);
  return connection;
}

HollowConnection* HollowNetwork::find(std::uint64_t id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

bool HollowNetwork::is_reachable(const Endpoint& from, const Endpoint& to) const {
  for (const auto& [name, cut] : cuts_) {
    if (cut.outward && cut.between(from, to))
      return false;
    if (cut.inward && cut.between(to, from))
      return false;
  }
  return true;
}

void HollowNetwork::inject_delta_faults(HollowConnection& connection, Packet& packet) {
  if (delta_loss <= 0 && delta_repeat <= 0)
    return;
  if (!is_delta(packet))
    return;
  if (uniform(0, 1) < delta_repeat) {
    queue_.at(queue_.now() + uniform(0, kLongestRepeatDelay),
              [this, id = connection.id, copy = packet]() mutable {
                HollowConnection* same = find(id);
                if (same == nullptr || !is_reachable(*same->node, *same->invoker))
                  return;
                same->unread += copy.frame.size();
                schedule_arrival(*same, Direction::to_invoker, std::move(copy));
              });
  }
  if (uniform(0, 1) < delta_loss)
    packet.kind = Packet::Kind::lost;
}

void HollowNetwork::send(HollowConnection& connection, Direction direction, Packet packet) {
  if (direction == Direction::to_invoker)
    inject_delta_faults(connection, packet);
  if (!connection.channel(direction).stopped_packets.empty() ||
      !is_reachable(connection.from(direction), connection.to(direction))) {
    connection.channel(direction).stopped_packets.push_back(std::move(packet));
    return;
  }
  schedule_arrival(connection, direction, std::move(packet));
}

void HollowNetwork::schedule_arrival(HollowConnection& connection, Direction direction, Packet packet) {
  HollowConnection::Channel& channel = connection.channel(direction);
  const double size = static_cast<double>(packet.frame.size());
  channel.free_at = std::max(channel.free_at, queue_.now()) + size / capacity_.bytes_per_millisecond;
  const double delay =
      connection.latency * uniform(0.9, 1.3) + connection.invoker->extra_delay + connection.node->extra_delay;
  channel.arrival = std::max(channel.arrival, channel.free_at + delay);
  queue_.at(channel.arrival, [this, id = connection.id, direction, packet = std::move(packet)]() mutable {
    deliver(id, direction, std::move(packet));
  });
}

void HollowNetwork::deliver(std::uint64_t id, Direction direction, Packet&& packet) {
  HollowConnection* connection = find(id);
  if (connection == nullptr)
    return;
  if (direction == Direction::to_invoker)
    connection->unread -= packet.frame.size();
  const bool last = packet.kind == Packet::Kind::end;
  if (!connection->channel(direction).ended)
    on_arrival_(*connection, direction, std::move(packet));
  connection = find(id);
  if (connection == nullptr || !last)
    return;
  connection->channel(direction).ended = true;
  // The side that sent the end receives nothing more, so the connection can be removed.
  connections_.erase(id);
}

void HollowNetwork::end(HollowConnection& connection, Direction direction) {
  const Direction back = direction == Direction::to_node ? Direction::to_invoker : Direction::to_node;
  connection.channel(back).ended = true;
  Packet last;
  last.kind = Packet::Kind::end;
  send(connection, direction, std::move(last));
}

std::vector<std::uint64_t> HollowNetwork::connections_of(const Endpoint& endpoint) const {
  std::vector<std::uint64_t> out;
  for (const auto& [id, connection] : connections_) {
    if (connection.invoker == &endpoint || connection.node == &endpoint)
      out.push_back(id);
  }
  std::sort(out.begin(), out.end());
  return out;
}

void HollowNetwork::heal(int name) {
  cuts_.erase(name);
  std::vector<std::uint64_t> ids;
  for (const auto& [id, connection] : connections_)
    ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const std::uint64_t id : ids) {
    HollowConnection& connection = connections_.at(id);
    for (const Direction direction : {Direction::to_node, Direction::to_invoker}) {
      if (!is_reachable(connection.from(direction), connection.to(direction)))
        continue;
      for (Packet& packet : std::exchange(connection.channel(direction).stopped_packets, {}))
        schedule_arrival(connection, direction, std::move(packet));
    }
  }
}

}  // namespace lotusyard::test
