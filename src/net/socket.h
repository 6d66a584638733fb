// An owned descriptor, and the few ways in which the program opens one. All are non-blocking.
#pragma once

#include <string>
#include <utility>

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

// Numeric addresses only, as host:port or [host]:port. A failed call gives an empty Socket.
Socket listen_on(const std::string& address);
// A listening TCP socket that was inherited under this number, now non-blocking; empty if it is none.
Socket adopt_listener(int fd);
Socket connect_to(const std::string& address);  // under way: writable once it is decided
// `exhausted` tells that no descriptor was to be had: the connection waits on.
Socket accept_from(const Socket& listener, bool* exhausted = nullptr);
// What a connection's peer has done that was not read yet, right now. Whoever sends no more, has closed or
// was reset is `gone`: one that only half-closes cannot be told from one that has closed.
enum class Peer { quiet, spoke, gone };
Peer look_at(const Socket& socket);
int pending_error(const Socket& socket);  // of a connect that was decided
std::string bound_address(const Socket& listener);
bool valid_address(const std::string& address);

}  // namespace lotusyard::net
