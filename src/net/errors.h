// Errors of system calls on sockets, classified by what they mean for the caller.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::net {

// Why a connection could not be established.
enum class ConnectErrorKind {
  local_resource,  // this machine lacks something; the error says nothing about the peer
  unreachable,
  refused,
  timed_out
};

struct ConnectError {
  ConnectErrorKind kind = ConnectErrorKind::unreachable;
  int error_number = 0;  // as in errno(3)
};

// Classifies an error of connect(2) or socket(2).
ConnectError connect_error(int error_number);

// The counter of such errors.
const metrics::Counter& counter_of(ConnectErrorKind kind);

// Whether this machine lacks memory for a read or write right now. The connection is intact, and the call may
// be repeated.
bool is_transient_shortage(int error_number);

enum class AcceptErrorKind {
  connection_lost,  // concerns one connection; the next one may be intact
  local_resource    // no connection can be accepted for now
};

// Classifies an error of accept(2).
AcceptErrorKind accept_error(int error_number);

}  // namespace lotusyard::net
