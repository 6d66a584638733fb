// The socket and the timer of an invoker's session: one connection at a time, to the node that the session
// chooses.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "control/replica.h"
#include "control/session.h"
#include "net/event_loop.h"

namespace lotusyard::control {

class SessionClient final : public Session::Transport {
 public:
  // `loop` and `counters` must outlive the client.
  SessionClient(net::EventLoop& loop, metrics::Counters& counters, Session::Config config,
                std::uint64_t seed);
  ~SessionClient() override;  // must not run inside of a call of the session or the replica
  SessionClient(const SessionClient&) = delete;
  SessionClient& operator=(const SessionClient&) = delete;

  Session& session() { return session_; }
  Replica& replica() { return replica_; }
  const Session& session() const { return session_; }
  const Replica& replica() const { return replica_; }

  // For the session.
  void connect(const NodeAddress& node) override;
  void send(const std::string& frame) override;
  // What was sent before is written first if the kernel accepts it at once: a Close must reach the node.
  void disconnect() override;

 private:
  class Connection;
  net::EventLoop& loop_;
  net::BufferPool pool_;
  std::shared_ptr<Connection> connection_;
  std::vector<std::shared_ptr<Connection>> closing_;  // the session has ended them; they delete themselves
  net::EventLoop::TimerId session_timer_{};
  net::EventLoop::TimerId failure_timer_{};
  Replica replica_;
  Session session_;

  void arm_timer();
  void tick();
  void connection_failed();
  void connection_ended(Connection& connection);
};

}  // namespace lotusyard::control
