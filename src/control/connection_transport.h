// The interface through which a control node writes to the connections of its sessions.
#pragma once

#include <cstdint>
#include <string>

namespace lotusyard::control {

// Connections are identified by the number that the transport assigned to each.
class ConnectionTransport {
 public:
  using ConnectionId = std::uint64_t;

  virtual ~ConnectionTransport() = default;
  virtual void send(ConnectionId connection, const std::string& frame) = 0;
  // Whether a further snapshot chunk or delta may be queued. If not, ControlNode::on_writable() follows.
  virtual bool has_room(ConnectionId connection) const = 0;
  // Closes the connection once everything queued was written; ControlNode::on_disconnected() is not called
  // for it.
  virtual void close(ConnectionId connection) = 0;
};

}  // namespace lotusyard::control
