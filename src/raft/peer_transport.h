// Connections among the members of a group: one to each member that something is sent to, and those that
// others make. What cannot go out is left out: the consensus sends again. No TLS and no sign-in: addresses
// are loopback's or a closed network's.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/counters.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "raft/frame.h"

namespace lotusyard::raft {

class PeerTransport final : private net::EventHandler {
 public:
  // A whole frame of a member that was let in.
  using Receive = std::function<void(const Hello& from, Frame&& frame)>;
  using LogSink = std::function<void(const std::string& line)>;
  PeerTransport(net::EventLoop& loop, core::Counters& counters, Hello mine, Receive receive, LogSink note);
  ~PeerTransport() override;

  bool listen(const std::string& address);
  std::string address() const { return net::bound_address(listener_); }
  // False: nothing went out. `to` 0: whoever listens there.
  bool send(std::uint64_t to, const std::string& address, Frame::Kind kind, const std::string& body);
  void set_own_id(std::uint64_t id);  // this member's own id became known
  void close();

 private:
  class OutgoingConnection;
  class IncomingConnection;
  static constexpr std::size_t max_incoming = 512;
  static constexpr std::size_t max_unsent_bytes = 2U << 20;  // bytes that wait on one link
  net::EventLoop& loop_;
  core::Counters& counters_;
  Hello own_hello_;
  Receive receive_;
  LogSink log_;
  net::BufferPool pool_;
  net::Socket listener_;
  std::map<std::string, std::shared_ptr<OutgoingConnection>> outgoing_;  // by address and id
  std::map<std::string, policy::Millis> reconnect_not_before_;  // likewise, since the last link there ended
  std::list<std::shared_ptr<IncomingConnection>> incoming_;
  std::set<std::string> logged_;
  net::EventLoop::TimerId accept_timer_{};

  void ready(short events) override;
  void watch_listener();
  void pause_accepting();
  const char* rejection_reason(const Hello& hello) const;
  void log_once(const std::string& line);
};

}  // namespace lotusyard::raft
