#include "net/errors.h"

#include <cerrno>

#include "metrics/system_call_counters.h"

namespace lotusyard::net {
namespace {

ConnectErrorKind connect_error_kind(int error_number) {
  switch (error_number) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
    case EADDRINUSE:  // no local port is free
    case EAGAIN:
    case ENETUNREACH:
    case ENETDOWN:
      return ConnectErrorKind::local_resource;
    case ECONNREFUSED:
    case ECONNRESET:
      return ConnectErrorKind::refused;
    case ETIMEDOUT:
      return ConnectErrorKind::timed_out;
    default:
      return ConnectErrorKind::unreachable;
  }
}

}  // namespace

ConnectError connect_error(int error_number) { return {connect_error_kind(error_number), error_number}; }

const metrics::Counter& counter_of(ConnectErrorKind kind) {
  switch (kind) {
    case ConnectErrorKind::local_resource:
      return metrics::kNetConnectLocalResource;
    case ConnectErrorKind::refused:
      return metrics::kNetConnectRefused;
    case ConnectErrorKind::timed_out:
      return metrics::kNetConnectTimedOut;
    case ConnectErrorKind::unreachable:
      break;
  }
  return metrics::kNetConnectUnreachable;
}

bool is_transient_shortage(int error_number) { return error_number == ENOBUFS || error_number == ENOMEM; }

// accept(2) also reports errors of the new connection; its manual page lists them.
AcceptErrorKind accept_error(int error_number) {
  switch (error_number) {
    case EINTR:
    case ECONNABORTED:
    case EPROTO:
    case ENOPROTOOPT:
    case ENETDOWN:
    case ENETUNREACH:
    case EHOSTDOWN:
    case EHOSTUNREACH:
    case ENONET:
    case EOPNOTSUPP:
    case EPERM:
    case ETIMEDOUT:
      return AcceptErrorKind::connection_lost;
    default:
      return AcceptErrorKind::local_resource;
  }
}

}  // namespace lotusyard::net
