#include "control/connection_table.h"

namespace lotusyard::control {

NodeConnection* ConnectionTable::find(ConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

std::optional<ConnectionTable::ConnectionId> ConnectionTable::assign(ConnectionId id,
                                                                     SessionTable::SessionId session) {
  std::optional<ConnectionId> superseded;
  const auto older = by_session_.find(session);
  if (older != by_session_.end()) {
    superseded = older->second;
    connections_.erase(older->second);
  }
  by_session_[session] = id;
  connections_.at(id).session = session;
  return superseded;
}

std::optional<SessionTable::SessionId> ConnectionTable::remove(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end())
    return std::nullopt;
  const SessionTable::SessionId session = found->second.session;
  by_session_.erase(session);
  connections_.erase(found);
  return session;
}

}  // namespace lotusyard::control
