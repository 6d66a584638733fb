// The connections of all clients, and which of them are closed when there are too many.
#pragma once

#include <array>
#include <memory>
#include <vector>

#include "metrics/counters.h"
#include "net/buffer.h"
#include "resp/client_connection.h"
#include "resp/client_limits.h"

namespace lotusyard::resp {

// Why a connection is closed in favour of others.
enum class EvictionReason {
  idle,              // another client needs its place, and nothing is open on it
  no_request,        // too many connections have sent no complete request
  unread_responses,  // the memory for responses is used up, and this client leaves most of them unread
};

// Owns the connections, in one list for each stage, least recently active first. The limits belong to the
// caller and may change; established connections are not closed for that alone.
class ClientTable {
 public:
  ClientTable(net::BufferPool& pool, metrics::Counters& counters, const ClientLimits& limits)
      : pool_(pool), counters_(counters), limits_(limits) {}

  // Adds a new connection. If too many have sent no request then, one of them is evicted, unless its request
  // is found to have arrived.
  void add(std::shared_ptr<ClientConnection> client);
  // Evicts new connections that the limits have no place for any more.
  void limit_new_connections();
  // Removes a connection that was closed. The caller keeps the object alive as long as it is in use.
  void remove(ClientConnection& client);

  // Input has arrived that completes no request, on a connection that has not sent one before.
  void record_partial_request(ClientConnection& client);
  // A request has arrived: makes the connection an established client, the most recently active one. If there
  // are too many then, an idle one is evicted. False if there is none, and this client has to be closed.
  bool establish(ClientConnection& client);
  // Evicts clients that do not read until a response of this size can be queued. Without that, the client
  // that is written to would be cut off, and not those that do not read.
  void evict_until_free(std::size_t bytes);

  bool empty() const;
  // Clients have received all responses, except those that seem to read no more.
  bool all_delivered() const;
  // The connections of a stage, at the time of the call.
  std::vector<std::shared_ptr<ClientConnection>> connections(ClientStage stage) const;

 private:
  ClientList& list(ClientStage stage) { return lists_[static_cast<std::size_t>(stage)]; }
  const ClientList& list(ClientStage stage) const { return lists_[static_cast<std::size_t>(stage)]; }
  void move_to(ClientConnection& client, ClientStage stage);
  std::size_t new_connection_count() const;
  bool has_place_for_new_connections() const;
  void evict_new_connection();
  const std::shared_ptr<ClientConnection>& new_connection_to_evict() const;
  bool evict_idle_client(ClientList::const_iterator end);
  void evict(const std::shared_ptr<ClientConnection>& client, EvictionReason reason);

  net::BufferPool& pool_;
  metrics::Counters& counters_;
  const ClientLimits& limits_;
  std::array<ClientList, kClientStages> lists_;
};

}  // namespace lotusyard::resp
