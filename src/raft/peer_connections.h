// The connections of a PeerTransport. A peer writes one acknowledgement frame for what it has received within
// an interval, so that a connection which silently loses data is detected and closed.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "raft/peer_transport.h"

namespace lotusyard::raft {

// A connection that this member opened; it only sends. It receives acknowledgements or a refusal.
class PeerTransport::OutgoingConnection final : public net::BufferedConnection {
 public:
  OutgoingConnection(PeerTransport& transport, std::string key, net::Socket socket);
  const std::string& key() const { return key_; }

  // To be called before each write. Whether the peer has acknowledged nothing for too long since an earlier
  // write: a connection that is cut without a reset accepts data, and none of it arrives.
  bool is_unacknowledged();

 private:
  PeerTransport& transport_;
  const std::string key_;
  FrameParser parser_;
  policy::Millis unacknowledged_since_{0};  // 0: everything is acknowledged

  void on_received(std::string_view bytes) override;
  void on_closed() override;
};

// A connection that a peer opened; it only receives. It sends acknowledgements or a refusal.
class PeerTransport::IncomingConnection final : public net::BufferedConnection {
 public:
  IncomingConnection(PeerTransport& transport, net::Socket socket);
  ~IncomingConnection() override;
  std::list<std::shared_ptr<IncomingConnection>>::iterator position;  // in the transport's list

 private:
  PeerTransport& transport_;
  FrameParser parser_;
  std::optional<Hello> hello_;  // once it was accepted
  net::EventLoop::TimerId hello_timer_{};
  net::EventLoop::TimerId acknowledgement_timer_{};
  policy::Millis acknowledged_at_{0};
  bool acknowledgement_pending_ = false;

  void on_received(std::string_view bytes) override;
  void on_closed() override;
  // These return false if the connection is being closed.
  bool handle_frame(Frame&& frame);
  bool handle_hello(const Frame& frame);
  void schedule_acknowledgement();
  void acknowledge();
  void close_malformed();
};

}  // namespace lotusyard::raft
