#include "net/socket.h"

#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <memory>

namespace lotusyard::net {
namespace {

using Addresses = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

Addresses resolve(const std::string& address, int flags) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return {nullptr, &freeaddrinfo};
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  addrinfo hints{};
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | flags;
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* found = nullptr;
  if (getaddrinfo(host.c_str(), address.substr(colon + 1).c_str(), &hints, &found) != 0) found = nullptr;
  return {found, &freeaddrinfo};
}

void no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

void Socket::close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

Socket listen_on(const std::string& address) {
  const Addresses at = resolve(address, AI_PASSIVE);
  if (!at) return Socket();
  Socket socket(::socket(at->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  if (!socket) return Socket();
  setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(socket.fd(), at->ai_addr, at->ai_addrlen) != 0 || listen(socket.fd(), 512) != 0) return Socket();
  return socket;
}

Socket adopt_listener(int fd) {
  int listening = 0, type = 0, family = 0;
  const auto read = [fd](int option, int& value) {
    socklen_t size = sizeof value;
    return getsockopt(fd, SOL_SOCKET, option, &value, &size) == 0;
  };
  if (!read(SO_ACCEPTCONN, listening) || !read(SO_TYPE, type) || !read(SO_DOMAIN, family)) return Socket();
  if (listening == 0 || type != SOCK_STREAM || (family != AF_INET && family != AF_INET6)) return Socket();
  // Danger: a connection that another process takes first would block an accept here.
  const int flags = fcntl(fd, F_GETFL);
  if (flags < 0 || fcntl(fd, F_SETFL, flags | O_NONBLOCK) != 0 || fcntl(fd, F_SETFD, FD_CLOEXEC) != 0) {
    return Socket();
  }
  return Socket(fd);
}

Socket connect_to(const std::string& address) {
  const Addresses at = resolve(address, 0);
  if (!at) return Socket();
  Socket socket(::socket(at->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket) return Socket();
  no_delay(socket.fd());
  if (connect(socket.fd(), at->ai_addr, at->ai_addrlen) != 0 && errno != EINPROGRESS) return Socket();
  return socket;
}

Socket accept_from(const Socket& listener, bool* exhausted) {
  Socket socket(accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (exhausted != nullptr) *exhausted = !socket && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS);
  if (socket) no_delay(socket.fd());
  return socket;
}

Peer look_at(const Socket& socket) {
  pollfd asked{socket.fd(), POLLIN | POLLRDHUP, 0};
  if (::poll(&asked, 1, 0) <= 0) return Peer::quiet;
  return (asked.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0 ? Peer::gone : Peer::spoke;
}

int pending_error(const Socket& socket) {
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

std::string bound_address(const Socket& listener) {
  sockaddr_storage at{};
  socklen_t size = sizeof at;
  char host[NI_MAXHOST], port[NI_MAXSERV];
  auto* any = reinterpret_cast<sockaddr*>(&at);
  if (getsockname(listener.fd(), any, &size) != 0) return {};
  if (getnameinfo(any, size, host, sizeof host, port, sizeof port, NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
    return {};
  }
  return std::string(host) + ":" + port;
}

bool valid_address(const std::string& address) { return resolve(address, 0) != nullptr; }

}  // namespace lotusyard::net
