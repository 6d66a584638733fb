// Simulated connections between hollow invokers and nodes: frames in order in each direction, with latency,
// bandwidth and network partitions. Frames stopped by a cut are delivered after it is healed, as by a
// transport that retransmits.
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
  double extra_delay = 0;  // added to everything it sends and receives, milliseconds
};

// A network partition: blocks traffic between `inside` and `outside` in the given directions.
struct Cut {
  std::function<bool(const Endpoint&)> inside;
  std::function<bool(const Endpoint&)> outside;  // none: every endpoint that is not inside
  bool outward = true, inward = true;

  bool between(const Endpoint& in, const Endpoint& out) const {
    return inside(in) && (outside ? outside(out) : !inside(out));
  }
};

struct Packet {
  enum class Kind { connect, accepted, frame, lost, end };  // lost: a frame that is dropped
  Kind kind = Kind::frame;
  std::string frame;
  double node_lease_end = 0;  // true time; the sending node's lease when it was sent
};

enum class Direction { to_node, to_invoker };

struct HollowConnection {
  struct Channel {
    double arrival = 0;  // of the latest packet
    double free_at = 0;  // when all earlier bytes have been transmitted
    std::deque<Packet> stopped_packets;
    bool ended = false;  // the receiving side discards further packets
  };
  std::uint64_t id = 0;
  const Endpoint *invoker = nullptr, *node = nullptr;
  std::uint64_t invoker_incarnation = 0, node_incarnation = 0;
  double latency = 0;
  Channel channels[2];
  std::size_t unread = 0;  // bytes queued for the invoker that have not arrived

  Channel& channel(Direction direction) { return channels[static_cast<int>(direction)]; }
  const Endpoint& from(Direction direction) const {
    return direction == Direction::to_node ? *invoker : *node;
  }
  const Endpoint& to(Direction direction) const { return direction == Direction::to_node ? *node : *invoker; }
};

class HollowNetwork {
 public:
  using ArrivalHandler = std::function<void(HollowConnection&, Direction, Packet&&)>;

  // Limits of each connection.
  struct Capacity {
    double bytes_per_millisecond = 10e3;
    std::size_t send_buffer = 256U << 10;  // at a node
  };

  HollowNetwork(EventQueue& queue, Capacity capacity, std::uint64_t seed)
      : queue_(queue), capacity_(capacity), random_(seed) {}
  const Capacity& capacity() const { return capacity_; }
  void set_arrival_handler(ArrivalHandler handler) { on_arrival_ = std::move(handler); }

  HollowConnection& open(const Endpoint& invoker, std::uint64_t invoker_incarnation, const Endpoint& node);
  HollowConnection* find(std::uint64_t id);
  // The caller adds bytes for the invoker to `unread` when it queues them, before they are sent.
  void send(HollowConnection& connection, Direction direction, Packet packet);
  void end(HollowConnection& connection,
           Direction direction);  // closes the sending side, which receives nothing further
  std::vector<std::uint64_t> connections_of(const Endpoint& endpoint) const;
  std::size_t connections() const { return connections_.size(); }

  void cut(int name, Cut cut) { cuts_[name] = std::move(cut); }
  void remove_cut(int name) { cuts_.erase(name); }  // does not deliver the packets that it stopped
  void heal(int name);                              // also delivers the packets that no other cut stops
  bool is_reachable(const Endpoint& from, const Endpoint& to) const;
  double latency(const Endpoint& from, const Endpoint& to);  // a new random value for each call

  // Probabilities of losing and repeating a delta: TCP does neither, but replicas must tolerate both.
  double delta_loss = 0, delta_repeat = 0;

 private:
  EventQueue& queue_;
  Capacity capacity_;
  std::mt19937_64 random_;
  ArrivalHandler on_arrival_;
  std::map<int, Cut> cuts_;
  std::unordered_map<std::uint64_t, HollowConnection> connections_;
  std::uint64_t last_id_ = 0;

  double uniform(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  void inject_delta_faults(HollowConnection& connection, Packet& packet);
  void schedule_arrival(HollowConnection& connection, Direction direction, Packet packet);
  void deliver(std::uint64_t id, Direction direction, Packet&& packet);
};

}  // namespace lotusyard::test
