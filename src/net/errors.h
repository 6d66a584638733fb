// Errors of system calls on sockets, by what they mean to whoever made the call.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::net {

// Why a connection could not be made. A local resource is short on this machine and says nothing of the peer.
enum class ConnectErrorKind { local_resource, unreachable, refused, timed_out };

struct ConnectError {
  ConnectErrorKind kind = ConnectErrorKind::unreachable;
  int error_number = 0;  // as in errno(3)
};

ConnectError connect_error(int error_number);
// The counter of such errors.
const metrics::Counter& counter_of(ConnectErrorKind kind);

// This machine lacks memory for the call right now; the connection is sound, and the call may be made again.
bool is_transient_shortage(int error_number);

enum class AcceptErrorKind {
  connection_lost,  // of the one connection only: the next one may be sound
  local_resource    // no connection can be accepted for now
};
AcceptErrorKind accept_error(int error_number);

}  // namespace lotusyard::net
