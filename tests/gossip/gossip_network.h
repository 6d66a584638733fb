// SWIM members on a virtual clock, connected by a network that loses and delays messages. Draws each member's
// table as text: one column per node, one row per change. Times are in milliseconds.
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

  // Appends a row to `drawing` for each change if `draws` is set.
  void run(double duration, bool draws = false);
  // Returns the milliseconds until every member's table matches the actual state of all nodes; -1 if it does
  // not within `duration`.
  double time_until_settled(double duration);
  // The header line of the drawing.
  std::string header() const;

  std::vector<Node> nodes;
  std::set<std::pair<std::size_t, std::size_t>> cut;  // links, from and to
  gossip::GossipTiming timing;
  double loss = 0;  // fraction of all messages
  bool measure_bytes = false;
  std::vector<std::pair<double, std::string>> events;  // not drawn yet
  std::uint64_t false_deaths = 0;                      // declarations of running nodes as dead
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

  double random_fraction() { return static_cast<double>(random_() % 100000) / 100000; }
  void record_event(const std::string& event) { events.emplace_back(now_, event); }
  bool is_running(const Node& node) const { return node.swim != nullptr && now_ >= node.stalled_until; }
  void send_outgoing(std::size_t node);
  void count_changes(Node& node);
  // Advances to the next message or tick, at most to `until`.
  void step(double until);
  double next_event_at(double until) const;
  void deliver_due();
  void tick_due();
  // Adds a row if the table of any node has changed or an event was recorded.
  void draw();
  char status_mark(const Node& observer, const Node& observed) const;
  std::string status_marks(const Node& observer) const;
  bool is_settled() const;
  bool matches_actual_state(const Node& observer, const Node& observed) const;

  std::mt19937_64 random_;
  double now_ = 1000;
  std::uint64_t last_message_ = 0;
  std::map<std::string, std::size_t> by_address_;
  std::priority_queue<MessageInFlight, std::vector<MessageInFlight>, std::greater<>> in_flight_;
  std::set<std::pair<std::string, std::uint64_t>> crashed_;  // name and incarnation
  std::string last_row_;
};

}  // namespace lotusyard::test
