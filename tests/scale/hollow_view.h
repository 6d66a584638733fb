// Many members' views in one process on a virtual clock: no sockets, but every message is worded and read as
// on the links. Of a fleet too large for one process some members are whole, and all others are stand-ins
// that answer and ask as often as a member at rest does, from one shared list.
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
  std::size_t whole = 100;  // of them, so many run; the rest are stand-ins
  std::size_t hosts = 0;    // each member tells of so many
  std::size_t dead = 0;     // members that everybody holds for dead, and tries now and then
};

class HollowView {
 public:
  explicit HollowView(const HollowShape& shape) : shape_(shape), random_(kSeed) {
    pace_.max_members = shape.members + 1;  // above the program's 1024, or larger fleets are refused
    list_.kind = gossip::Message::Kind::sync_reply;
    for (std::size_t i = 0; i < shape.members; ++i) {
      list_.members.push_back(peer(i));
      by_address_[list_.members.back().address] = i;
    }
    list_.self = list_.members.front();
    const std::size_t observers = shape.members - shape.dead;
    for (std::size_t h = 0; h < shape.hosts; ++h) {
      for (std::size_t i = 0; i < observers; ++i)
        list_.observations.push_back({host(h), 0, name(i), kLife, h + 1, true});
    }
    reply_ = worded_parcel(list_);
    gossip::Message asking = list_;
    asking.kind = gossip::Message::Kind::sync;
    asking.self = list_.members[std::min(shape.whole, observers - 1)];
    asked_ = worded_parcel(std::move(asking));
    before_members_ = allocated_bytes();
    for (std::size_t i = 0; i < shape.whole; ++i)
      start(i);
  }

  // Until what was told at the start is no news any more, without the work of wording it.
  void settle(double span) {
    words_ = false;
    run(span);
    words_ = true;
  }
  void run(double span) {
    const double until = now_ + span;
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      take(event);
    }
    now_ = until;
  }
  struct Totals {
    double messages = 0, sent = 0, received = 0;  // of whole members, per member
    std::uint64_t suspected = 0;
    std::size_t longest = 0, unreadable = 0;
  };
  Totals totals() const {
    Totals out = totals_;
    const double whole = static_cast<double>(shape_.whole);
    out.messages /= whole;
    out.sent /= whole;
    out.received /= whole;
    for (const auto& node : nodes_)
      out.suspected += node.swim->counts().suspected;
    return out;
  }
  // What one whole member holds, with its share of the messages under way.
  double bytes_each() const {
    return (allocated_bytes() - before_members_) / static_cast<double>(shape_.whole);
  }
  std::size_t known_to_first() const { return nodes_.front().swim->member_table().all().size(); }

 private:
  static constexpr std::uint64_t kLife = 1764650000000;  // as that of a member that joined later
  static constexpr double kDelay = 20;                   // milliseconds a message takes, on average
  enum class What { tick, message, stand_in };
  struct Node {
    std::unique_ptr<gossip::SwimProtocol> swim;
    double ticked_at = -1;  // when its next tick is planned; -1: none is
    int periods = 0;        // of the stand-ins that ask it
  };
  // What is under way to one member: the message, and its wording where that is measured.
  struct Parcel {
    std::shared_ptr<const gossip::Message> message;
    std::shared_ptr<const std::string> body;
  };
  struct Event {
    double at = 0;
    std::uint64_t order = 0;
    What what = What::tick;
    std::size_t to = 0;
    Parcel parcel;
    bool operator<(const Event& o) const { return std::tie(o.at, o.order) < std::tie(at, order); }
  };
  HollowShape shape_;
  std::mt19937_64 random_;
  gossip::GossipTiming pace_;
  gossip::Message list_;  // what every member knows
  Parcel reply_, asked_;  // the same, as an answer of a stand-in's and as its question
  std::vector<Node> nodes_;
  std::unordered_map<std::string, std::size_t> by_address_;
  std::priority_queue<Event> events_;
  double now_ = 1000;
  std::uint64_t order_ = 0;
  bool words_ = false;
  double before_members_ = 0;
  Totals totals_;

  static std::string name(std::size_t i) { return "m" + std::to_string(i); }
  static std::string host(std::size_t h) { return "h" + std::to_string(h); }
  gossip::MemberRecord peer(std::size_t i) const {
    const std::string address =
        "10.0." + std::to_string(i / 250) + '.' + std::to_string(i % 250 + 1) + ":7400";
    const bool gone = i >= shape_.members - shape_.dead;
    return {name(i), address, kLife, 0, gone ? gossip::MemberStatus::dead : gossip::MemberStatus::alive, {}};
  }
  double chance() { return static_cast<double>(random_() % 100000) / 100000; }
  void plan(Event event) {
    event.order = ++order_;
    events_.push(std::move(event));
  }
  void start(std::size_t i) {
    gossip::MemberRecord self = list_.members[i];
    self.status = gossip::MemberStatus::joining;
    const gossip::Millis begins(now_ + chance() * pace_.period.count());
    nodes_.emplace_back();
    auto& swim = nodes_.back().swim;
    swim = std::make_unique<gossip::SwimProtocol>(self, std::vector<std::string>{list_.self.address}, pace_,
                                                  random_(), begins);
    swim->serve(begins);
    for (std::size_t h = 0; h < shape_.hosts; ++h)
      swim->observe(host(h), 0, true);
    swim->receive(begins, list_);
    swim->take_outgoing();
    swim->take_changes();
    plan({begins.count(), 0, What::tick, i, {}});
    nodes_.back().ticked_at = begins.count();
    if (shape_.whole < shape_.members)
      plan({begins.count(), 0, What::stand_in, i, {}});
  }
  void take(const Event& event) {
    Node& node = nodes_[event.to];
    const gossip::Millis now(now_);
    if (event.what == What::stand_in)
      return stand_in_asks(event.to);
    if (event.what == What::tick) {
      if (event.at != node.ticked_at)
        return;  // another was planned since
      node.ticked_at = -1;
      node.swim->tick(now);
    } else {
      receive(node, event);
    }
    carry_out(event.to);
  }
  void receive(Node& node, const Event& event) {
    const gossip::Millis now(now_);
    if (!words_ || !event.parcel.body)
      return node.swim->receive(now, *event.parcel.message);
    const std::string& body = *event.parcel.body;
    totals_.received += static_cast<double>(body.size());
    if (const auto read = gossip::decode_message(body))
      node.swim->receive(now, *read);
    else
      ++totals_.unreadable;
  }
  static Parcel worded_parcel(gossip::Message message) {
    auto body = std::make_shared<const std::string>(gossip::encode_message(message));
    return {std::make_shared<const gossip::Message>(std::move(message)), std::move(body)};
  }
  void carry_out(std::size_t from) {
    Node& node = nodes_[from];
    for (auto& out : node.swim->take_outgoing())
      deliver(from, std::move(out));
    node.swim->take_changes();
    const double due = node.swim->next_deadline().count();
    if (node.ticked_at >= 0 && node.ticked_at <= due)
      return;
    node.ticked_at = std::max(due, now_);
    plan({node.ticked_at, 0, What::tick, from, {}});
  }
  void deliver(std::size_t from, gossip::SwimProtocol::OutgoingMessage&& out) {
    const std::size_t to = by_address_.at(out.address);
    const auto kind = out.message.kind;
    const std::uint64_t number = out.message.number;
    const Parcel parcel = words_ ? worded_parcel(std::move(out.message)) : unworded(std::move(out.message));
    if (words_) {
      ++totals_.messages;
      totals_.sent += static_cast<double>(parcel.body->size());
      totals_.longest = std::max(totals_.longest, parcel.body->size());
    }
    const double at = now_ + kDelay * (0.5 + chance());
    if (to >= shape_.members - shape_.dead)
      return;
    if (to < shape_.whole)
      return plan({at, 0, What::message, to, parcel});
    if (kind == gossip::Message::Kind::sync)
      return plan({at + kDelay, 0, What::message, from, reply_});
    if (kind == gossip::Message::Kind::ping)
      plan_from_stand_in(at + kDelay, from, to, gossip::Message::Kind::ack, number);
  }
  static Parcel unworded(gossip::Message message) {
    return {std::make_shared<const gossip::Message>(std::move(message)), nullptr};
  }
  void plan_from_stand_in(double at, std::size_t to, std::size_t stand_in, gossip::Message::Kind kind,
                          std::uint64_t number) {
    gossip::Message message;
    message.kind = kind;
    message.number = number;
    message.self = list_.members[stand_in];
    if (kind == gossip::Message::Kind::ack)
      message.subject = message.self.name;
    plan({at, 0, What::message, to, worded_parcel(std::move(message))});
  }
  // Each member is asked once in a period on average, and for a full exchange as often as it asks for one.
  void stand_in_asks(std::size_t to) {
    const std::size_t alive = shape_.members - shape_.dead;
    const std::size_t stand_in = shape_.whole + random_() % (alive - shape_.whole);
    plan_from_stand_in(now_, to, stand_in, gossip::Message::Kind::ping, ++order_);
    if (++nodes_[to].periods % pace_.full_sync_periods == 0)
      plan({now_, 0, What::message, to, asked_});
    plan({now_ + pace_.period.count(), 0, What::stand_in, to, {}});
  }
};

}  // namespace lotusyard::scale
