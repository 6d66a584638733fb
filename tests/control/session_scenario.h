// A session with faulty nodes on a virtual clock, and a model of the lease that it may hold: only grants
// extend it, each from the time at which its renewal was sent.
#pragma once

#include <deque>

#include "control/history.h"
#include "control/message_codec.h"
#include "control/session.h"

namespace lotusyard::test {

using control::Index;
using control::Millis;
using control::Session;

class SessionScenario final : public Session::Transport {
 public:
  explicit SessionScenario(std::uint64_t seed);

  // Runs one step: starts or ends a fault, or advances the time.
  void step(int kind);
  // Ends all faults; then the session must get a lease, and the replica all records.
  void finish();

  const metrics::Counters& counters() const { return counters_; }

  void connect(const control::NodeAddress&) override;
  void disconnect() override;
  void send(const std::string& frame) override;

 private:
  // A message in flight to the session. Without a message: the connection is established.
  struct InFlight {
    Millis at{0};
    std::optional<control::Message> message;
  };
  History history_;
  std::mt19937_64 random_;
  raft::LeaseTerms terms_;
  control::Replica replica_;
  metrics::Counters counters_;
  std::unique_ptr<Session> session_;
  Millis now_{1000};
  Millis delay_{5};
  std::deque<InFlight> in_flight_;
  bool connected_ = false;
  bool closed_ = false;
  bool loses_grants_ = false;
  bool node_grants_ = true;
  bool refuses_ = false;
  std::size_t cursor_ = 0;      // the step of the history that the node sends next
  std::size_t committed_ = 1;   // the steps of the history that it may send
  std::uint64_t sequence_ = 0;  // of the last renewal on this connection
  std::uint64_t answered_ = 0;  // of the last renewal that was granted
  std::map<std::uint64_t, Millis> sent_at_;
  Millis last_renewal_{0};
  Millis expected_lease_until_{0};

  void send_later(std::optional<control::Message> message);
  void handle_at_node(const control::Message& message);
  void on_open(const control::Open& open);
  void on_renew(const control::Renew& renewal);
  // From `position` on: a snapshot if the replica is empty, and sometimes otherwise.
  void serve_from(Index position);
  void send_pending();
  void swap_two_deltas();
  void repeat_grant();
  void break_connection();
  void stop_process(Millis span);
  void run(Millis span);
  // Ticks until none is due.
  void tick();
  void deliver();
  // Applies a grant to the model, once, from the time at which its renewal was sent.
  void expect_grant(const control::Grant& grant);
  void check();
};

}  // namespace lotusyard::test
