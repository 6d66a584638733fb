// An invoker's session with a control node: which node it connects to, when it reconnects, and how long its
// lease lasts. No I/O; the time, randomness and the transport are passed in.
//
//   waiting ----> connecting ----> opening ----> open
//      ^    tick      |    connected   |  Welcome  |
//      |              |                |           |
//      +--------------+----------------+-----------+
//        time-out, connection lost, Refusal, malformed message, silence, no lease, second gap
//
//   close() leads from any state to `closed`, which is final.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "control/known_nodes.h"
#include "control/reconnect_backoff.h"
#include "control/replica.h"
#include "control/session_lease.h"
#include "metrics/counters.h"

namespace lotusyard::control {

class Session {
 public:
  // One connection at a time.
  class Transport {
   public:
    virtual ~Transport() = default;
    virtual void connect(const NodeAddress& node) = 0;  // on_connected() or on_disconnected() follows
    virtual void send(const std::string& frame) = 0;
    virtual void disconnect() = 0;  // at once; on_disconnected() is not called for it
  };
  struct Pacing {
    Millis connect_timeout{1000};     // also for the opening of the session
    Millis max_initial_backoff{500};  // see ReconnectBackoff
    Millis max_backoff{5000};
  };
  struct Config {
    std::string cluster;
    std::string invoker;
    std::string zone;
    std::string region;
    std::uint64_t incarnation = 0;   // chosen at random by each process
    std::vector<NodeAddress> nodes;  // the seeds; nodes name others
    raft::LeaseTerms terms;
    Pacing pacing;
  };

  // The references must outlive the session. It connects at the first tick().
  Session(Config config, Transport& transport, Replica& replica, metrics::Counters& counters,
          std::uint64_t seed, Millis now);
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void tick(Millis now);
  // The time of the next tick(); infinite once the session is closed.
  Millis due() const;

  // From the transport. A malformed message is counted, and the session reconnects.
  void on_connected(Millis now);
  void on_disconnected(Millis now);
  void on_message(Message&& message, Millis now);
  void on_malformed(Millis now);

  // The process ends: the lease is released, and the session does not connect again.
  void close(Millis now);

  // No call that a change up to `index` forbids is in flight at this invoker; reported with the next renewal.
  void set_quiesced_index(Index index) { quiesced_index_ = index; }
  // Sends a message to a replicated state machine. Returns false if there is no open session, or if the
  // message is longer than a node accepts.
  bool forward(const std::string& state_machine, const std::string& payload);

  bool holds_lease(Millis now) const { return lease_.is_held(now); }
  bool has_held_lease() const { return lease_.has_been_held(); }
  Millis lease_until() const { return lease_.until(); }
  // What this invoker may use, while it holds a lease, of a budget of the whole fleet. Empty: the node
  // divides no budget.
  const std::optional<double>& share() const { return lease_.share(); }
  bool open() const { return state_ == State::open; }
  // The node of the current connection, or of the last one.
  const NodeAddress& node() const { return node_; }

 private:
  enum class State { waiting, connecting, opening, open, closed };

  Config config_;
  Transport& transport_;
  Replica& replica_;
  metrics::Counters& counters_;
  std::mt19937_64 random_;
  KnownNodes nodes_;
  ReconnectBackoff backoff_;
  SessionLease lease_;
  State state_ = State::waiting;
  Millis state_since_;
  Millis next_attempt_;
  NodeAddress node_;
  Index quiesced_index_ = 0;
  bool is_resuming_ = false;  // a gap was reported, and nothing was applied since

  bool has_connection() const { return state_ != State::waiting && state_ != State::closed; }
  Millis connect_deadline() const { return state_since_ + config_.pacing.connect_timeout; }
  void enter(State state, Millis now);
  void connect(Millis now);
  void tick_open(Millis now);
  void renew(Millis now);
  // Ends the connection, for a reason that is counted, and reconnects.
  void disconnect(Millis now, const metrics::Counter& counter);
  // The connection has ended: schedules the next one.
  void reconnect(Millis now);

  void on(const Welcome& welcome, Millis now);
  void on(const Refusal& refusal, Millis now);
  void on(const Grant& grant, Millis now);
  void on(const SnapshotChunk& chunk, Millis now);
  void on(const Delta& delta, Millis now);
  template <typename MessageToNode>
  void on(const MessageToNode& /*message*/, Millis now) {
    on_malformed(now);
  }
  void on_granted();
  void on_replicated(Replica::Outcome outcome, Millis now);
  void on_gap(Millis now);
};

}  // namespace lotusyard::control
