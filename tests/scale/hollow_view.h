// Many members' gossip views in one process on a virtual clock: no sockets, but every message is encoded and
// decoded as on a connection. For a fleet too large for one process, some members are complete and all others
// are stand-ins, which respond and poll as often as an idle member does, from one shared member list.
#pragma once

#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "scale/point.h"
#include "scale/tier.h"

namespace lotusyard::scale {

struct HollowShape {
  std::size_t members = 100;
  std::size_t complete = 100;  // members that run the protocol; the rest are stand-ins
  std::size_t hosts = 0;       // hosts that each member reports on
  std::size_t dead = 0;        // members that all others consider dead and probe now and then
};

class HollowView {
 public:
  explicit HollowView(const HollowShape& shape) : shape_(shape), random_(kSeed) {
    timing_.max_members = shape.members + 1;  // raises the limit of 1024, which rejects larger fleets
    list_.kind = gossip::Message::Kind::sync_reply;
    for (std::size_t i = 0; i < shape.members; ++i) {
      list_.members.push_back(peer(i));
      by_address_[list_.members.back().address] = i;
    }
    list_.self = list_.members.front();
    const std::size_t observers = shape.members - shape.dead;
    for (std::size_t h = 0; h < shape.hosts; ++h) {
      for (std::size_t i = 0; i < observers; ++i)
        list_.observations.push_back({host(h), 0, name(i), kIncarnation, h + 1, true});
    }
    reply_ = encoded_message(list_);
    gossip::Message request = list_;
    request.kind = gossip::Message::Kind::sync;
    request.self = list_.members[std::min(shape.complete, observers - 1)];
    request_ = encoded_message(std::move(request));
    bytes_before_members_ = allocated_bytes();
    for (std::size_t i = 0; i < shape.complete; ++i)
      start_member(i);
  }

  // Runs until the initial updates have been disseminated, without encoding messages.
  void settle(double span) {
    encodes_ = false;
    run(span);
    encodes_ = true;
  }
  void run(double span) {
    const double until = now_ + span;
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      handle(event);
    }
    now_ = until;
  }
  struct Totals {
    double messages = 0, sent = 0, received = 0;  // of complete members, per member
    std::uint64_t suspected = 0;
    std::size_t longest = 0, unreadable = 0;
  };
  Totals totals() const {
    Totals out = totals_;
    const double complete = static_cast<double>(shape_.complete);
    out.messages /= complete;
    out.sent /= complete;
    out.received /= complete;
    for (const auto& node : nodes_)
      out.suspected += node.swim->counts().suspected;
    return out;
  }
  // Allocated bytes per complete member, with its share of the messages in flight.
  double bytes_each() const {
    return (allocated_bytes() - bytes_before_members_) / static_cast<double>(shape_.complete);
  }
  std::size_t members_in_first_view() const { return nodes_.front().swim->member_table().all().size(); }

 private:
  // As that of a member that joined after the bootstrap.
  static constexpr std::uint64_t kIncarnation = 1764650000000;
  static constexpr double kDelay = 20;  // mean delay of a message, milliseconds
  enum class EventKind { tick, message, stand_in };
  struct Node {
    std::unique_ptr<gossip::SwimProtocol> swim;
    double next_tick = -1;  // when its next tick is scheduled; -1: none is
    int periods = 0;        // elapsed periods, each with one probe by a stand-in
  };
  // A message in flight to one member, with its encoding where that is measured.
  struct InFlight {
    std::shared_ptr<const gossip::Message> message;
    std::shared_ptr<const std::string> body;
  };
  struct Event {
    double at = 0;
    std::uint64_t order = 0;
    EventKind kind = EventKind::tick;
    std::size_t to = 0;
    InFlight in_flight;
    bool operator<(const Event& o) const { return std::tie(o.at, o.order) < std::tie(at, order); }
  };
  HollowShape shape_;
  std::mt19937_64 random_;
  gossip::GossipTiming timing_;
  gossip::Message list_;      // the complete member list
  InFlight reply_, request_;  // `list_` encoded as a stand-in's sync reply and sync request
  std::vector<Node> nodes_;
  std::unordered_map<std::string, std::size_t> by_address_;
  std::priority_queue<Event> events_;
  double now_ = 1000;
  std::uint64_t order_ = 0;
  bool encodes_ = false;
  double bytes_before_members_ = 0;
  Totals totals_;

  static std::string name(std::size_t i) { return "m" + std::to_string(i); }
  static std::string host(std::size_t h) { return "h" + std::to_string(h); }
  gossip::MemberRecord peer(std::size_t i) const {
    const std::string address =
        "10.0." + std::to_string(i / 250) + '.' + std::to_string(i % 250 + 1) + ":7400";
    const bool dead = i >= shape_.members - shape_.dead;
    return {
        name(i), address, kIncarnation, 0, dead ? gossip::MemberStatus::dead : gossip::MemberStatus::alive,
        {}};
  }
  double random_fraction() { return static_cast<double>(random_() % 100000) / 100000; }
  void schedule(Event event) {
    event.order = ++order_;
    events_.push(std::move(event));
  }
  void start_member(std::size_t i) {
    gossip::MemberRecord self = list_.members[i];
    self.status = gossip::MemberStatus::joining;
    const gossip::Millis first_tick(now_ + random_fraction() * timing_.period.count());
    nodes_.emplace_back();
    auto& swim = nodes_.back().swim;
    swim = std::make_unique<gossip::SwimProtocol>(self, std::vector<std::string>{list_.self.address}, timing_,
                                                  random_(), first_tick);
    swim->serve(first_tick);
    for (std::size_t h = 0; h < shape_.hosts; ++h)
      swim->observe(host(h), 0, true);
    swim->receive(first_tick, list_);
    swim->take_outgoing();
    swim->take_changes();
    schedule({first_tick.count(), 0, EventKind::tick, i, {}});
    nodes_.back().next_tick = first_tick.count();
    if (shape_.complete < shape_.members)
      schedule({first_tick.count(), 0, EventKind::stand_in, i, {}});
  }
  void handle(const Event& event) {
    Node& node = nodes_[event.to];
    const gossip::Millis now(now_);
    if (event.kind == EventKind::stand_in)
      return poll_from_stand_in(event.to);
    if (event.kind == EventKind::tick) {
      if (event.at != node.next_tick)
        return;  // superseded: another tick was scheduled since
      node.next_tick = -1;
      node.swim->tick(now);
    } else {
      receive(node, event);
    }
    send_outgoing(event.to);
  }
  void receive(Node& node, const Event& event) {
    const gossip::Millis now(now_);
    if (!encodes_ || !event.in_flight.body)
      return node.swim->receive(now, *event.in_flight.message);
    const std::string& body = *event.in_flight.body;
    totals_.received += static_cast<double>(body.size());
    if (const auto decoded = gossip::decode_message(body))
      node.swim->receive(now, *decoded);
    else
      ++totals_.unreadable;
  }
  static InFlight encoded_message(gossip::Message message) {
    auto body = std::make_shared<const std::string>(gossip::encode_message(message));
    return {std::make_shared<const gossip::Message>(std::move(message)), std::move(body)};
  }
  void send_outgoing(std::size_t from) {
    Node& node = nodes_[from];
    for (auto& out : node.swim->take_outgoing())
      deliver(from, std::move(out));
    node.swim->take_changes();
    const double due = node.swim->next_deadline().count();
    if (node.next_tick >= 0 && node.next_tick <= due)
      return;
    node.next_tick = std::max(due, now_);
    schedule({node.next_tick, 0, EventKind::tick, from, {}});
  }
  void deliver(std::size_t from, gossip::SwimProtocol::OutgoingMessage&& out) {
    const std::size_t to = by_address_.at(out.address);
    const auto kind = out.message.kind;
    const std::uint64_t number = out.message.number;
    const InFlight in_flight =
        encodes_ ? encoded_message(std::move(out.message)) : unencoded_message(std::move(out.message));
    if (encodes_) {
      ++totals_.messages;
      totals_.sent += static_cast<double>(in_flight.body->size());
      totals_.longest = std::max(totals_.longest, in_flight.body->size());
    }
    const double at = now_ + kDelay * (0.5 + random_fraction());
    if (to >= shape_.members - shape_.dead)
      return;
    if (to < shape_.complete)
      return schedule({at, 0, EventKind::message, to, in_flight});
    if (kind == gossip::Message::Kind::sync)
      return schedule({at + kDelay, 0, EventKind::message, from, reply_});
    if (kind == gossip::Message::Kind::ping)
      schedule_from_stand_in(at + kDelay, from, to, gossip::Message::Kind::ack, number);
  }
  static InFlight unencoded_message(gossip::Message message) {
    return {std::make_shared<const gossip::Message>(std::move(message)), nullptr};
  }
  void schedule_from_stand_in(double at, std::size_t to, std::size_t stand_in, gossip::Message::Kind kind,
                              std::uint64_t number) {
    gossip::Message message;
    message.kind = kind;
    message.number = number;
    message.self = list_.members[stand_in];
    if (kind == gossip::Message::Kind::ack)
      message.subject = message.self.name;
    schedule({at, 0, EventKind::message, to, encoded_message(std::move(message))});
  }
  // Each member is probed once a period on average, and receives as many sync requests as it sends.
  void poll_from_stand_in(std::size_t to) {
    const std::size_t alive = shape_.members - shape_.dead;
    const std::size_t stand_in = shape_.complete + random_() % (alive - shape_.complete);
    schedule_from_stand_in(now_, to, stand_in, gossip::Message::Kind::ping, ++order_);
    if (++nodes_[to].periods % timing_.full_sync_periods == 0)
      schedule({now_, 0, EventKind::message, to, request_});
    schedule({now_ + timing_.period.count(), 0, EventKind::stand_in, to, {}});
  }
};

}  // namespace lotusyard::scale
