// The connections of a control node, and which of them belongs to which session. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "control/connection_transport.h"
#include "control/record_sender.h"
#include "control/session_table.h"
#include "control/token_bucket.h"

namespace lotusyard::control {

// State of one connection. Without a session, the first message is still awaited.
struct NodeConnection {
  SessionTable::SessionId session = 0;  // 0: none
  SendPosition send_position;
  std::uint64_t last_renewal = 0;       // the sequence number
  std::optional<TokenBucket> forwards;  // set while there is a session

  bool has_session() const { return session != 0; }
};

class ConnectionTable {
 public:
  using ConnectionId = ConnectionTransport::ConnectionId;

  void add(ConnectionId id) { connections_[id] = NodeConnection(); }
  // Null: no such connection, or it was removed. The pointer is valid until the connection is removed.
  NodeConnection* find(ConnectionId id);
  // Gives the session to a connection. An older connection of the same session is removed and returned: the
  // newer one supersedes it.
  std::optional<ConnectionId> assign(ConnectionId id, SessionTable::SessionId session);
  // Returns the session of the connection that was removed, 0 if it had none. Empty: no such connection.
  std::optional<SessionTable::SessionId> remove(ConnectionId id);

  bool empty() const { return connections_.empty(); }
  ConnectionId first() const { return connections_.begin()->first; }
  // Calls `visit` with the id and the state of each connection that has a session; it must not add or remove
  // any.
  template <typename Visitor>
  void visit_sessions(const Visitor& visit) {
    for (auto& [id, connection] : connections_) {
      if (connection.has_session())
        visit(id, connection);
    }
  }

 private:
  std::map<ConnectionId, NodeConnection> connections_;
  std::map<SessionTable::SessionId, ConnectionId> by_session_;
};

}  // namespace lotusyard::control
