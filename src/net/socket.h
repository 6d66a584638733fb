// Owned descriptors, and the ways in which the program opens sockets. All sockets are non-blocking.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "net/errors.h"

namespace lotusyard::net {

// Owns a descriptor and closes it.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { close(); }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }

  int fd() const { return fd_; }  // -1: none
  explicit operator bool() const { return fd_ >= 0; }
  void close();

 private:
  int fd_ = -1;
};

// A connection that is being established, or why there is none.
struct ConnectResult {
  Socket socket;  // becomes writable once the connection is established or has failed
  std::optional<ConnectError> error;
  explicit operator bool() const { return static_cast<bool>(socket); }
};

enum class AcceptStatus {
  accepted,
  none_waiting,
  out_of_resources  // connections wait but cannot be accepted: the listener should pause for a while
};

struct AcceptResult {
  Socket socket;
  AcceptStatus status = AcceptStatus::none_waiting;
  int connections_lost = 0;  // connections that failed before they could be accepted
};

// Addresses are numeric: host:port or [host]:port.
bool valid_address(const std::string& address);

// Returns an empty socket if the address cannot be listened on.
Socket listen_on(const std::string& address);

// Takes over an inherited listening TCP socket and makes it non-blocking. Returns an empty socket if the
// descriptor is not such a socket; the descriptor is not closed then.
Socket adopt_listener(int fd);

// The address that the listener is bound to; empty if it cannot be read.
std::string bound_address(const Socket& listener);

// Starts to connect.
ConnectResult connect_to(const std::string& address);

// The error of a connect that has finished, as in errno(3); 0 if there is none. Clears it.
int pending_error(const Socket& socket);

// Accepts one connection. A connection that was lost meanwhile is skipped.
AcceptResult accept_from(const Socket& listener);

// What a connection's peer has done that was not read yet.
enum class PeerState {
  idle,
  readable,
  disconnected  // closed, reset, or closed for sending: these cannot be distinguished
};
PeerState peek_peer(const Socket& socket);

// The bytes, the end of the stream included, that the kernel was given to send and that the peer's kernel has
// not acknowledged. A reset drops these; what was acknowledged can still be read. 0 if it cannot be told.
std::size_t undelivered_bytes(const Socket& socket);

}  // namespace lotusyard::net
