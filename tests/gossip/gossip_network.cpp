#include "gossip/gossip_network.h"

#include <algorithm>
#include <cstdio>

namespace lotusyard::test {
namespace {

constexpr double kStart = 1000;  // of the virtual clock
constexpr double kDelay = 20;    // of a message on average
constexpr std::size_t kSeedAddresses = 3;

}  // namespace

GossipNetwork::GossipNetwork(std::uint64_t seed, std::size_t count) : random_(seed), now_(kStart) {
  for (std::size_t i = 0; i < count; ++i) {
    Node node;
    node.name = count <= 26 ? std::string(1, static_cast<char>('a' + i)) : "m" + std::to_string(i);
    node.address = "127.0.0.1:" + std::to_string(1000 + i);
    by_address_[node.address] = i;
    nodes.push_back(std::move(node));
  }
}

void GossipNetwork::start(std::size_t index) {
  Node& node = nodes[index];
  node.incarnation = std::max<std::uint64_t>(node.incarnation + 1, 1);
  std::vector<std::string> seed_addresses;
  for (std::size_t i = 0; i < std::min(nodes.size(), kSeedAddresses); ++i)
    seed_addresses.push_back(nodes[i].address);
  const MemberRecord self{node.name, node.address, node.incarnation, 0, MemberStatus::joining, {}};
  node.swim = std::make_unique<SwimProtocol>(self, seed_addresses, timing, random_(), Millis(now_));
  node.next_tick_at = now_;
  node.swim->serve(Millis(now_));
  record_event(node.name + " starts");
}

void GossipNetwork::start_all() {
  for (std::size_t i = 0; i < nodes.size(); ++i)
    start(i);
  events.clear();
  record_event("all start");
}

void GossipNetwork::crash(std::size_t index) {
  Node& node = nodes[index];
  crashed_.insert({node.name, node.incarnation});
  node.swim.reset();
  record_event(node.name + " crashes");
}

void GossipNetwork::leave(std::size_t index) {
  nodes[index].swim->leave(Millis(now_));
  send_outgoing(index);
  nodes[index].swim.reset();
  record_event(nodes[index].name + " leaves");
}

void GossipNetwork::stall(std::size_t index, double duration) {
  nodes[index].stalled_until = now_ + duration;
  record_event(nodes[index].name + " pauses");
}

void GossipNetwork::cut_off(const std::set<std::size_t>& side) {
  for (std::size_t from = 0; from < nodes.size(); ++from) {
    for (std::size_t to = 0; to < nodes.size(); ++to) {
      if (side.count(from) != side.count(to))
        cut.insert({from, to});
    }
  }
  record_event("links cut");
}

void GossipNetwork::heal() {
  cut.clear();
  record_event("links healed");
}

void GossipNetwork::send_outgoing(std::size_t index) {
  Node& node = nodes[index];
  node.next_tick_at = node.swim->next_deadline().count();
  for (auto& outgoing : node.swim->take_outgoing()) {
    ++node.sent;
    if (measure_bytes)
      node.bytes += gossip::encode_message(outgoing.message).size();
    const auto to = by_address_.find(outgoing.address);
    if (to == by_address_.end() || cut.count({index, to->second}) != 0 || random_fraction() < loss)
      continue;
    const double arrives_at = now_ + kDelay * (0.5 + random_fraction());
    in_flight_.push({arrives_at, ++last_message_, index, to->second, std::move(outgoing.message)});
  }
  count_changes(node);
}

void GossipNetwork::count_changes(Node& node) {
  for (const auto& change : node.swim->take_changes()) {
    ++changes;
    const bool has_crashed = crashed_.count({change.name, change.incarnation}) != 0;
    // A node that is cut off for longer than the suspicion timeout is correctly declared dead.
    if (change.status == MemberStatus::dead && !has_crashed && cut.empty())
      ++false_deaths;
  }
}

void GossipNetwork::run(double duration, bool draws) {
  const double until = now_ + duration;
  while (now_ < until) {
    step(until);
    if (draws)
      draw();
  }
}

void GossipNetwork::step(double until) {
  now_ = std::max(now_, next_event_at(until));
  deliver_due();
  tick_due();
}

double GossipNetwork::next_event_at(double until) const {
  double next = until;
  for (const auto& node : nodes) {
    if (node.swim)
      next = std::min(next, std::max(node.next_tick_at, node.stalled_until));
  }
  if (!in_flight_.empty())
    next = std::min(next, in_flight_.top().arrives_at);
  return next;
}

void GossipNetwork::deliver_due() {
  while (!in_flight_.empty() && in_flight_.top().arrives_at <= now_) {
    MessageInFlight arrived = in_flight_.top();
    in_flight_.pop();
    Node& to = nodes[arrived.to];
    if (!to.swim || cut.count({arrived.from, arrived.to}) != 0)
      continue;
    if (!is_running(to)) {
      to.received_while_stalled.push_back(std::move(arrived.message));
      continue;
    }
    to.swim->receive(Millis(now_), arrived.message);
    send_outgoing(arrived.to);
  }
}

void GossipNetwork::tick_due() {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    Node& node = nodes[i];
    const bool is_due = node.next_tick_at <= now_;
    if (!is_running(node) || (!is_due && node.received_while_stalled.empty()))
      continue;
    if (is_due)
      node.swim->tick(Millis(now_));
    for (const auto& message : std::exchange(node.received_while_stalled, {}))
      node.swim->receive(Millis(now_), message);
    send_outgoing(i);
  }
}

char GossipNetwork::status_mark(const Node& observer, const Node& observed) const {
  const MemberRecord* record = observer.swim->member_table().find(observed.name);
  return record == nullptr ? '.' : "~+?x<"[static_cast<std::size_t>(record->status)];
}

std::string GossipNetwork::status_marks(const Node& observer) const {
  if (!observer.swim)
    return std::string(nodes.size(), ' ');
  std::string marks;
  for (const auto& observed : nodes)
    marks += status_mark(observer, observed);
  return marks;
}

void GossipNetwork::draw() {
  std::string row;
  for (const auto& node : nodes)
    row += "  " + status_marks(node);
  if (row == last_row_ && events.empty())
    return;
  last_row_ = row;
  char periods[16];
  std::snprintf(periods, sizeof periods, "%5.1f", (now_ - kStart) / timing.period.count());
  std::string remarks;
  for (const auto& [at, event] : std::exchange(events, {}))
    remarks += (remarks.empty() ? "   " : ", ") + event;
  drawing += periods + row + remarks + "\n";
}

std::string GossipNetwork::header() const {
  std::string line = "     ";
  for (const auto& node : nodes)
    line += "  " + node.name + std::string(nodes.size() - node.name.size(), ' ');
  return line + "\n";
}

bool GossipNetwork::matches_actual_state(const Node& observer, const Node& observed) const {
  const MemberRecord* record = observer.swim->member_table().find(observed.name);
  const bool is_recorded_up = record != nullptr && record->status <= MemberStatus::alive &&
                              record->incarnation == observed.incarnation;
  return is_recorded_up == (observed.swim != nullptr);
}

bool GossipNetwork::is_settled() const {
  for (const auto& observer : nodes) {
    if (!observer.swim)
      continue;
    for (const auto& observed : nodes) {
      if (!matches_actual_state(observer, observed))
        return false;
    }
  }
  return true;
}

double GossipNetwork::time_until_settled(double duration) {
  const double started_at = now_;
  while (now_ < started_at + duration) {
    if (is_settled())
      return now_ - started_at;
    run(20);
  }
  return is_settled() ? now_ - started_at : -1;
}

}  // namespace lotusyard::test
