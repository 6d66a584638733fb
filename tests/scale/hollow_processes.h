// Hollow nodes and invokers: the real control-tier modules of one process each, with an outbox in place of
// sockets.
#pragma once

#include <time.h>

#include <deque>
#include <limits>
#include <memory>
#include <unordered_map>

#include "control/control_node.h"
#include "control/message_codec.h"
#include "control/session.h"
#include "scale/agreed_log.h"
#include "scale/hollow_network.h"
#include "scale/sent_deltas.h"

namespace lotusyard::test {

constexpr double kNever = std::numeric_limits<double>::infinity();

struct Traffic {
  std::uint64_t bytes_sent = 0, messages_sent = 0, bytes_received = 0, messages_received = 0;
};

// Sums the processor time of calls into one process's modules.
class CpuMeter {
 public:
  static bool enabled;
  void start() {
    if (enabled)
      started_ = read();
  }
  void stop() {
    if (!enabled)
      return;
    seconds_ += read() - started_;
    ++spans_;
  }
  // Excludes the cost of reading the clock.
  double seconds() const { return std::max(0.0, seconds_ - static_cast<double>(spans_) * cost_of_span()); }

 private:
  double started_ = 0, seconds_ = 0;
  std::uint64_t spans_ = 0;
  static double read();
  static double cost_of_span();
};

struct HollowNode : control::ControlNode::Transport {
  using ConnectionId = control::ControlNode::ConnectionId;
  struct Outgoing {
    ConnectionId connection = 0;
    Packet packet;
  };
  HollowNode(HollowNetwork& its_network, Endpoint where, DriftingClock its_clock)
      : network(its_network), endpoint(where), clock(its_clock) {}

  HollowNetwork& network;
  Endpoint endpoint;
  DriftingClock clock;
  control::NodeAddress address;
  std::unique_ptr<control::ControlNode> control;  // null while the node is down
  metrics::Counters counters;
  std::uint64_t incarnation = 0;
  bool stopped = false;      // as by SIGSTOP
  bool unreachable = false;  // its machine is down too, so that connects are not refused either
  Index applied_index = 0;   // last applied index of the agreed log
  double lease_end = 0;      // of the node's own lease, true time
  std::unordered_map<ConnectionId, control::MessageReader> readers;
  std::unordered_map<ConnectionId, SentDeltas> sent_deltas;  // not updated while processor time is measured
  std::uint64_t skipped_deltas = 0;
  std::vector<Outgoing> outbox;
  std::deque<std::function<void()>> deferred_while_stopped;
  Traffic traffic;
  CpuMeter cpu;

  bool up() const { return control != nullptr; }
  void send(ConnectionId connection, const std::string& frame) override;
  bool has_room(ConnectionId connection) const override;
  void close(ConnectionId connection) override;
};

struct HollowInvoker : control::Session::Transport {
  struct Outgoing {
    enum class Kind { connect, frame, disconnect };
    Kind kind = Kind::frame;
    std::string text;  // the frame, or the node's address
  };
  // A change of the replica's position.
  struct Move {
    Index position = 0;
    bool by_snapshot = false;
  };
  // Calls started while the replica was at `position`; the last of them ends at `until`, true time.
  struct Calls {
    Index position = 0;
    double until = 0;
  };
  HollowInvoker(Endpoint where, DriftingClock its_clock) : endpoint(where), clock(its_clock) {}

  Endpoint endpoint;
  DriftingClock clock;
  std::unique_ptr<control::Replica> replica;
  std::unique_ptr<control::Session> session;  // null while the invoker is down
  metrics::Counters counters;
  std::uint64_t incarnation = 0;
  bool stopped = false;
  std::uint64_t connection = 0;  // 0: none
  control::MessageReader reader{control::kMaxFrameBytesToInvoker};
  double tick_at = kNever;
  std::vector<Move> moves;  // since the last notification
  std::vector<Outgoing> outbox;
  std::deque<std::function<void()>> deferred_while_stopped;
  std::deque<Calls> calls;
  Traffic traffic;
  CpuMeter cpu;

  // State after the last call into the session.
  bool was_open = false;
  Millis lease_until{0};
  Index position = 0;
  double node_lease_end = 0;  // true time; of the node whose packet is being handled

  bool up() const { return session != nullptr; }
  double lease_end() const { return lease_until.count() > 0 ? clock.true_time(lease_until) : 0; }
  bool holds_lease(double now) const { return up() && session->holds_lease(clock.local_time(now)); }
  void connect(const control::NodeAddress& node) override {
    outbox.push_back({Outgoing::Kind::connect, node.address});
  }
  void send(const std::string& frame) override { outbox.push_back({Outgoing::Kind::frame, frame}); }
  void disconnect() override { outbox.push_back({Outgoing::Kind::disconnect, {}}); }
};

}  // namespace lotusyard::test
