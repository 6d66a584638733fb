// An invoker's session with a control node: which node it goes to, when it moves, and until when its lease
// holds. One connection at a time. No I/O; the time, chance and the transport are passed in.
#pragma once

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "control/known_nodes.h"
#include "control/replica.h"
#include "metrics/counters.h"

namespace lotusyard::control {

class Session {
 public:
  class Transport {
   public:
    virtual ~Transport() = default;
    virtual void connect(const NodeAddress& node) = 0;  // `connected` or `disconnected` follows
    virtual void send(const std::string& frame) = 0;
    virtual void disconnect() = 0;  // at once; `disconnected` is not called for it
  };
  // How fast a session moves from node to node. Every wait is drawn at random up to its bound, so that many
  // sessions that lose their node together do not arrive together.
  struct Pacing {
    Millis connect_timeout{1000};
    Millis first_wait{500};  // at most so long before the first attempt after a session was lost
    Millis most_wait{5000};  // the bound doubles with each further failure, up to this
  };
  struct Config {
    std::string cluster, invoker, zone, region;
    std::uint64_t incarnation = 0;
    std::vector<NodeAddress> nodes;  // where to begin; more are learnt from the nodes
    raft::LeaseTerms terms;
    Pacing pacing;
  };

  Session(Config config, Transport& transport, Replica& replica, metrics::Counters& counters,
          std::uint64_t seed, Millis now);

  void tick(Millis now);
  Millis due() const;  // when `tick` wants to be called, at the latest; infinite once closed
  void connected(Millis now);
  void disconnected(Millis now);
  void received(Message&& message, Millis now);
  void malformed(Millis now);  // what came cannot be read: counted, and the session moves
  void close(Millis now);      // the process ends: the lease is given up, and nothing is connected again

  // Nothing that a change up to there forbids is under way here; reported with the next renewal.
  void set_settled(Index settled) { settled_ = settled; }
  // False: there is no session now, or the word is longer than a node takes.
  bool forward(const std::string& part, const std::string& word);

  bool holds(Millis now) const { return now < lease_until_; }
  Millis lease_until() const { return lease_until_; }
  bool ever_held() const { return lease_until_.count() > 0; }
  // What this invoker may use of what the group divides, while the lease holds; nothing: nothing is divided.
  const std::optional<double>& share() const { return share_; }
  bool open() const { return state_ == State::open; }
  const NodeAddress& node() const { return node_; }  // the one that it is at, or goes to

 private:
  enum class State { waiting, connecting, opening, open, closed };
  struct Renewal {
    std::uint64_t sequence = 0;
    Millis sent{0};
  };
  Config config_;
  Transport& transport_;
  Replica& replica_;
  metrics::Counters& counters_;
  std::mt19937_64 random_;
  State state_ = State::waiting;
  KnownNodes nodes_;
  NodeAddress node_;
  Millis next_attempt_, state_since_, next_renewal_{0}, lease_until_{0};
  std::deque<Renewal> outstanding_;  // renewals without an answer, oldest first
  std::uint64_t sequence_ = 0;       // of the last renewal on this connection
  Index settled_ = 0;
  std::optional<double> share_;
  int failures_ = 0;                     // on end
  std::optional<Millis> refused_since_;  // only grants of 0 have come for renewals from then on
  bool resuming_ = false;                // a gap was reported, and nothing was applied since

  void attempt(Millis now);
  void leave(Millis now, const metrics::Counter& counter);  // ends the connection and moves
  void move_on(Millis now);                                 // the connection has ended
  Millis next_wait();
  double chance(double low, double high);
  Millis silent_at() const;  // when an answer will have been outstanding for too long
  Millis renewal_interval() const;
  void renew(Millis now);

  void take(const Welcome& welcome, Millis now);
  void take(const Refusal& refusal, Millis now);
  void take(const Grant& grant, Millis now);
  void take(const SnapshotChunk& chunk, Millis now);
  void take(const Delta& delta, Millis now);
  template <typename Other>
  void take(const Other&, Millis now) {  // only a node receives these
    malformed(now);
  }
  void granted(const Renewal& renewal, const Grant& grant, Millis now);
  void on_replicated(Replica::Outcome outcome, Millis now);
  void on_gap(Millis now);
};

}  // namespace lotusyard::control
