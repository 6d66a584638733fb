// Transport of frames among the members of a group, on a best-effort basis: what cannot be sent is dropped,
// and the consensus sends it again. Each member opens a connection to each member that it sends to, so that
// two members have one connection in each direction. There is no TLS and no authentication: addresses are of
// the loopback interface or a closed network.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "metrics/counters.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "raft/frame.h"

namespace lotusyard::raft {

// Not thread-safe: runs on the event loop.
class PeerTransport final : private net::EventHandler {
 public:
  // Called with each frame of a member whose hello was accepted.
  using Receive = std::function<void(const Hello& from, Frame&& frame)>;
  using LogSink = std::function<void(const std::string& line)>;
  // `own_hello` identifies this member; its field `to` is ignored.
  PeerTransport(net::EventLoop& loop, metrics::Counters& counters, Hello own_hello, Receive receive,
                LogSink log);
  ~PeerTransport() override;

  // Returns false if it cannot bind the address.
  bool listen(const std::string& address);
  // The address that it is bound to.
  std::string address() const { return net::bound_address(listener_); }
  // Sends a frame to the member with the id `to` at `address`, or to whichever member listens there if `to`
  // is 0. Returns false if the frame was dropped.
  bool send(std::uint64_t to, const std::string& address, Frame::Kind kind, const std::string& body);
  // Sets the id of this member, once it is assigned. Open connections, which announced none, are closed.
  void set_own_id(std::uint64_t id);
  void close();

 private:
  class OutgoingConnection;
  class IncomingConnection;
  static constexpr std::size_t kMaxIncoming = 512;
  static constexpr std::size_t kMaxUnsentBytes = 2U << 20;  // on one connection
  net::EventLoop& loop_;
  metrics::Counters& counters_;
  Hello own_hello_;
  Receive receive_;
  LogSink log_;
  net::BufferPool pool_;
  net::Socket listener_;
  // Both by connection_key().
  std::map<std::string, std::shared_ptr<OutgoingConnection>> outgoing_;
  std::map<std::string, policy::Millis> reconnect_not_before_;
  std::list<std::shared_ptr<IncomingConnection>> incoming_;
  std::set<std::string> logged_lines_;
  net::EventLoop::TimerId accept_timer_{};

  void ready(short events) override;
  void watch_listener();
  void pause_accepting();
  void on_outgoing_closed(const OutgoingConnection& connection);
  void on_incoming_closed(IncomingConnection& connection);
  // Returns null if the hello is accepted. The reason is sent to the peer.
  const char* rejection_reason(const Hello& hello) const;
  // Returns null if no connection can be opened at present.
  OutgoingConnection* find_or_connect(std::uint64_t to, const std::string& address);
  OutgoingConnection* connect(std::uint64_t to, const std::string& address);
  // Logs each distinct line once, up to a limit.
  void log_once(const std::string& line);
};

}  // namespace lotusyard::raft
