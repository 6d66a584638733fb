// A fleet of SWIM members on a virtual clock, a network among them that loses and delays messages, and a
// drawing of what each believes: one column a node, one row a change. Times are in milliseconds.
#pragma once

#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "gossip/swim_protocol.h"

namespace lotusyard::test {

using gossip::MemberRecord;
using gossip::MemberStatus;
using gossip::Millis;
using gossip::SwimProtocol;

class GossipNetwork {
 public:
  struct Node {
    std::string name;
    std::string address;
    std::unique_ptr<SwimProtocol> swim;  // none: it is down
    std::uint64_t incarnation = 0;
    double stalled_until = 0;
    std::vector<gossip::Message> received_while_stalled;
    std::uint64_t sent = 0;
    std::uint64_t bytes = 0;  // only if measure_bytes
    double next_tick_at = 0;
  };

  GossipNetwork(std::uint64_t seed, std::size_t count);

  void start(std::size_t node);
  void start_all();
  void crash(std::size_t node);
  void leave(std::size_t node);
  // Pauses the node; what it receives meanwhile is handled afterwards.
  void stall(std::size_t node, double duration);
  // Cuts all links, both ways, between these nodes and the others.
  void cut_off(const std::set<std::size_t>& side);
  void heal();

  // If `draws`, each change is drawn.
  void run(double duration, bool draws = false);
  // Returns the milliseconds until all agree with the truth; -1 if they do not within the duration.
  double time_until_settled(double duration);
  // The line above the drawing.
  std::string head() const;

  std::vector<Node> nodes;
  std::set<std::pair<std::size_t, std::size_t>> cut;  // links, from and to
  gossip::GossipTiming timing;
  double loss = 0;  // the part of all messages that is lost
  bool measure_bytes = false;
  std::vector<std::pair<double, std::string>> events;  // not drawn yet
  std::uint64_t false_deaths = 0;                      // nodes that run and were declared dead
  std::uint64_t changes = 0;
  std::string drawing;

 private:
  struct MessageInFlight {
    double arrives_at;
    std::uint64_t number;
    std::size_t from;
    std::size_t to;
    gossip::Message message;
    bool operator>(const MessageInFlight& other) const {
      return std::tie(arrives_at, number) > std::tie(other.arrives_at, other.number);
    }
  };

  double chance() { return static_cast<double>(random_() % 100000) / 100000; }
  void record_event(const std::string& event) { events.emplace_back(now_, event); }
  bool is_running(const Node& node) const { return node.swim != nullptr && now_ >= node.stalled_until; }
  void send_outgoing(std::size_t node);
  void count_changes(Node& node);
  // Advances to the next message or tick, at most to `until`.
  void step(double until);
  double next_event_at(double until) const;
  void deliver_due();
  void tick_due();
  // A row whenever a belief has changed or something has happened.
  void draw();
  char mark(const Node& observer, const Node& observed) const;
  std::string cell(const Node& observer) const;
  bool is_settled() const;
  bool knows_truth(const Node& observer, const Node& observed) const;

  std::mt19937_64 random_;
  double now_ = 1000;
  std::uint64_t last_message_ = 0;
  std::map<std::string, std::size_t> by_address_;
  std::priority_queue<MessageInFlight, std::vector<MessageInFlight>, std::greater<>> in_flight_;
  std::set<std::pair<std::string, std::uint64_t>> crashed_;  // name and incarnation
  std::string last_row_;
};

}  // namespace lotusyard::test
