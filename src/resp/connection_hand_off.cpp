#include "resp/connection_hand_off.h"

#include <poll.h>

namespace lotusyard::resp {

void close_connections_at_rest(const ClientTable& clients) {
  for (const auto& client : clients.connections(ClientStage::established)) {
    if (!client->is_at_rest())
      continue;
    client->ready(POLLIN);  // a request that has arrived is served
    if (client->is_at_rest())
      client->shutdown_after_flush();
  }
}

bool read_arrived_input(const ClientTable& clients) {
  bool found = false;
  for (const ClientStage stage :
       {ClientStage::established, ClientStage::no_request, ClientStage::partial_request}) {
    for (const auto& client : clients.connections(stage)) {
      if (client->is_closing() || client->peer_state() == net::PeerState::idle)
        continue;
      found = true;
      client->ready(POLLIN);
    }
  }
  return found;
}

}  // namespace lotusyard::resp
