// An owned descriptor, and the few ways in which the program opens one. All are non-blocking.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "net/errors.h"

namespace lotusyard::net {

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
  int fd() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void close();

 private:
  int fd_ = -1;
};

// A connection under way, or why there is none.
struct ConnectResult {
  Socket socket;  // writable once it is decided
  std::optional<ConnectError> error;
  explicit operator bool() const { return static_cast<bool>(socket); }
};

enum class AcceptStatus {
  accepted,
  none_waiting,
  out_of_resources  // connections wait, but none can be taken for now: the listener is to be left alone a
                    // while
};

struct AcceptResult {
  Socket socket;
  AcceptStatus status = AcceptStatus::none_waiting;
  int connections_lost = 0;  // ended before they could be taken; the next one was tried in their place
};

// Numeric addresses only, as host:port or [host]:port. Empty if the address cannot be listened on.
Socket listen_on(const std::string& address);
// A listening TCP socket that was inherited under this number, now non-blocking; empty if it is none.
Socket adopt_listener(int fd);
ConnectResult connect_to(const std::string& address);
AcceptResult accept_from(const Socket& listener);
// What a connection's peer has done that was not read yet, right now. Whoever sends no more, has closed or
// was reset is `gone`: one that only half-closes cannot be told from one that has closed.
enum class PeerState { idle, readable, disconnected };
PeerState peek_peer(const Socket& socket);
int pending_error(const Socket& socket);  // of a connect that was decided
std::string bound_address(const Socket& listener);
bool valid_address(const std::string& address);

}  // namespace lotusyard::net
