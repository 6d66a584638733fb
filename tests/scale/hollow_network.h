// The connections between hollow invokers and nodes: bytes in order each way, with latency, bandwidth and
// cuts. What a cut stops is delivered when it is healed, as a transport that retransmits would.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "control/message.h"
#include "scale/event_queue.h"

namespace lotusyard::test {

enum class ProcessKind { log, node, invoker };

struct Endpoint {
  ProcessKind kind = ProcessKind::log;
  std::size_t number = 0;
  int region = -1, zone = -1;
  double extra_delay = 0;  // on all that it sends and receives, milliseconds
};

// Nothing passes between what is inside and what is outside, in the directions given.
struct Cut {
  std::function<bool(const Endpoint&)> inside;
  std::function<bool(const Endpoint&)> outside;  // none: all that is not inside
  bool outward = true, inward = true;

  bool between(const Endpoint& in, const Endpoint& out) const {
    return inside(in) && (outside ? outside(out) : !inside(out));
  }
};

struct Packet {
  enum class Kind { connect, accepted, frame, lost, end };  // lost: a frame that nobody gets
  Kind kind = Kind::frame;
  std::string frame;
  double node_lease_end = 0;  // true time; of the node that sent it, as it was then
};

enum class Direction { to_node, to_invoker };

struct HollowConnection {
  struct Way {
    double arrival = 0;  // of the last packet
    double free_at = 0;  // the line has taken all earlier bytes
    std::deque<Packet> held;
    bool ended = false;  // the receiving side is not interested any more
  };
  std::uint64_t id = 0;
  const Endpoint *invoker = nullptr, *node = nullptr;
  std::uint64_t invoker_incarnation = 0, node_incarnation = 0;
  double latency = 0;
  Way ways[2];
  std::size_t unread = 0;  // bytes for the invoker that were queued and have not arrived

  Way& way(Direction direction) { return ways[static_cast<int>(direction)]; }
  const Endpoint& from(Direction direction) const {
    return direction == Direction::to_node ? *invoker : *node;
  }
  const Endpoint& to(Direction direction) const { return direction == Direction::to_node ? *node : *invoker; }
};

class HollowNetwork {
 public:
  using Arrived = std::function<void(HollowConnection&, Direction, Packet&&)>;

  // Of every connection.
  struct Capacity {
    double bytes_per_millisecond = 10e3;
    std::size_t send_buffer = 256U << 10;  // at a node
  };

  HollowNetwork(EventQueue& queue, Capacity capacity, std::uint64_t seed)
      : queue_(queue), capacity_(capacity), random_(seed) {}
  const Capacity& capacity() const { return capacity_; }
  void when_arrived(Arrived arrived) { arrived_ = std::move(arrived); }

  HollowConnection& open(const Endpoint& invoker, std::uint64_t invoker_incarnation, const Endpoint& node);
  HollowConnection* find(std::uint64_t id);
  // Bytes for the invoker are counted as unread by whoever queues them, before they are sent.
  void send(HollowConnection& connection, Direction direction, Packet packet);
  void end(HollowConnection& connection,
           Direction direction);  // the sending side is done; nothing reaches it any more
  std::vector<std::uint64_t> connections_of(const Endpoint& endpoint) const;
  std::size_t connections() const { return connections_.size(); }

  void cut(int name, Cut cut) { cuts_[name] = std::move(cut); }
  void forget_cut(int name) { cuts_.erase(name); }  // without delivering what it held
  void heal(int name);                              // and delivers what nothing holds any more
  bool passes(const Endpoint& from, const Endpoint& to) const;
  double latency(const Endpoint& from, const Endpoint& to);  // drawn anew

  // A transport that loses or repeats deltas: no real one does, but replicas must bear it.
  double delta_loss = 0, delta_repeat = 0;

 private:
  EventQueue& queue_;
  Capacity capacity_;
  std::mt19937_64 random_;
  Arrived arrived_;
  std::map<int, Cut> cuts_;
  std::unordered_map<std::uint64_t, HollowConnection> connections_;
  std::uint64_t last_id_ = 0;

  double uniform(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  void disturb(HollowConnection& connection, Packet& packet);
  void launch(HollowConnection& connection, Direction direction, Packet packet);
  void arrive(std::uint64_t id, Direction direction, Packet&& packet);
};

}  // namespace lotusyard::test
