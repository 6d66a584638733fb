#include "scale/hollow_network.h"

namespace lotusyard::test {
namespace {

constexpr double kLongestRepeatDelay = 3000;
constexpr std::size_t kKindAt = 4;  // in a frame, behind its length
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

Link& HollowNetwork::open(const Endpoint& invoker, std::uint64_t invoker_life, const Endpoint& node) {
  Link& link = links_[++last_id_];
  link.id = last_id_;
  link.invoker = &invoker;
  link.node = &node;
  link.invoker_life = invoker_life;
  link.latency = latency(invoker, node);
  return link;
}

Link* HollowNetwork::find(std::uint64_t id) {
  const auto found = links_.find(id);
  return found == links_.end() ? nullptr : &found->second;
}

bool HollowNetwork::passes(const Endpoint& from, const Endpoint& to) const {
  for (const auto& [name, cut] : cuts_) {
    if (cut.outward && cut.between(from, to))
      return false;
    if (cut.inward && cut.between(to, from))
      return false;
  }
  return true;
}

void HollowNetwork::disturb(Link& link, Packet& packet) {
  if (delta_loss <= 0 && delta_repeat <= 0)
    return;
  if (!is_delta(packet))
    return;
  if (uniform(0, 1) < delta_repeat) {
    queue_.at(queue_.now() + uniform(0, kLongestRepeatDelay), [this, id = link.id, copy = packet]() mutable {
      Link* same = find(id);
      if (same == nullptr || !passes(*same->node, *same->invoker))
        return;
      same->unread += copy.frame.size();
      launch(*same, Direction::to_invoker, std::move(copy));
    });
  }
  if (uniform(0, 1) < delta_loss)
    packet.kind = Packet::Kind::lost;
}

void HollowNetwork::send(Link& link, Direction direction, Packet packet) {
  if (direction == Direction::to_invoker)
    disturb(link, packet);
  if (!link.way(direction).held.empty() || !passes(link.from(direction), link.to(direction))) {
    link.way(direction).held.push_back(std::move(packet));
    return;
  }
  launch(link, direction, std::move(packet));
}

void HollowNetwork::launch(Link& link, Direction direction, Packet packet) {
  Link::Way& way = link.way(direction);
  const double size = static_cast<double>(packet.frame.size());
  way.free_at = std::max(way.free_at, queue_.now()) + size / capacity_.bytes_per_millisecond;
  const double delay = link.latency * uniform(0.9, 1.3) + link.invoker->extra_delay + link.node->extra_delay;
  way.arrival = std::max(way.arrival, way.free_at + delay);
  queue_.at(way.arrival, [this, id = link.id, direction, packet = std::move(packet)]() mutable {
    arrive(id, direction, std::move(packet));
  });
}

void HollowNetwork::arrive(std::uint64_t id, Direction direction, Packet&& packet) {
  Link* link = find(id);
  if (link == nullptr)
    return;
  if (direction == Direction::to_invoker)
    link->unread -= packet.frame.size();
  const bool last = packet.kind == Packet::Kind::end;
  if (!link->way(direction).ended)
    arrived_(*link, direction, std::move(packet));
  link = find(id);
  if (link == nullptr || !last)
    return;
  link->way(direction).ended = true;
  // Whoever sent the end takes nothing more, so that the link is over when its end has arrived.
  links_.erase(id);
}

void HollowNetwork::end(Link& link, Direction direction) {
  const Direction back = direction == Direction::to_node ? Direction::to_invoker : Direction::to_node;
  link.way(back).ended = true;
  Packet last;
  last.kind = Packet::Kind::end;
  send(link, direction, std::move(last));
}

std::vector<std::uint64_t> HollowNetwork::links_of(const Endpoint& endpoint) const {
  std::vector<std::uint64_t> out;
  for (const auto& [id, link] : links_) {
    if (link.invoker == &endpoint || link.node == &endpoint)
      out.push_back(id);
  }
  std::sort(out.begin(), out.end());
  return out;
}

void HollowNetwork::heal(int name) {
  cuts_.erase(name);
  std::vector<std::uint64_t> ids;
  for (const auto& [id, link] : links_)
    ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const std::uint64_t id : ids) {
    Link& link = links_.at(id);
    for (const Direction direction : {Direction::to_node, Direction::to_invoker}) {
      if (!passes(link.from(direction), link.to(direction)))
        continue;
      for (Packet& packet : std::exchange(link.way(direction).held, {}))
        launch(link, direction, std::move(packet));
    }
  }
}

}  // namespace lotusyard::test
