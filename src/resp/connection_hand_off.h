// Ends the use of connections before the process exits, without losing what clients have sent.
#pragma once

#include "resp/client_table.h"

namespace lotusyard::resp {

// Closes connections on which nothing is open; their clients connect again, to another process. What they
// have sent by now is served first. To be called again until no connection is left.
void close_connections_at_rest(const ClientTable& clients);

// Reads what clients have sent by now; returns false if there was nothing.
bool read_arrived_input(const ClientTable& clients);

}  // namespace lotusyard::resp
