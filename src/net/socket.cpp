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

#include "net/system_calls.h"

namespace lotusyard::net {
namespace {

constexpr int kConnectTries = 4;
constexpr int kPollTries = 4;
constexpr int kAcceptTries = 64;  // a listener that gives nothing but errors is left alone for a while

using Addresses = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

Addresses resolve(const std::string& address, int flags) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return {nullptr, &freeaddrinfo};
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  addrinfo hints{};
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | flags;
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* found = nullptr;
  if (getaddrinfo(host.c_str(), address.substr(colon + 1).c_str(), &hints, &found) != 0)
    found = nullptr;
  return {found, &freeaddrinfo};
}

void no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// 0 if the connection stands or is under way, else the error. A call that a signal interrupted goes on by
// itself; made again, it tells so.
int start_connect(const Socket& socket, const addrinfo& at) {
  for (int i = 0; i < kConnectTries; ++i) {
    if (system_calls::connect(socket.fd(), at.ai_addr, at.ai_addrlen) == 0)
      return 0;
    if (errno == EINPROGRESS || errno == EALREADY || errno == EISCONN)
      return 0;
    if (errno != EINTR)
      return errno;
  }
  return 0;
}

// What poll(2) would have told, as far as recv(2) can: a close behind unread bytes stays unseen.
PeerState peek(const Socket& socket) {
  char byte = 0;
  ssize_t got = -1;
  for (int i = 0; i < kPollTries; ++i) {
    got = system_calls::receive(socket.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got >= 0 || errno != EINTR)
      break;
  }
  if (got == 0)
    return PeerState::disconnected;
  if (got > 0 || is_transient_shortage(errno) || errno == EINTR)
    return PeerState::readable;
  return errno == EAGAIN || errno == EWOULDBLOCK ? PeerState::idle : PeerState::disconnected;
}

}  // namespace

void Socket::close() {
  if (fd_ >= 0)
    ::close(fd_);
  fd_ = -1;
}

Socket listen_on(const std::string& address) {
  const Addresses at = resolve(address, AI_PASSIVE);
  if (!at)
    return Socket();
  Socket socket(system_calls::open_socket(at->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC));
  const int on = 1;
  if (!socket)
    return Socket();
  setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(socket.fd(), at->ai_addr, at->ai_addrlen) != 0 || listen(socket.fd(), 512) != 0)
    return Socket();
  return socket;
}

Socket adopt_listener(int fd) {
  int listening = 0, type = 0, family = 0;
  const auto read = [fd](int option, int& value) {
    socklen_t size = sizeof value;
    return getsockopt(fd, SOL_SOCKET, option, &value, &size) == 0;
  };
  if (!read(SO_ACCEPTCONN, listening) || !read(SO_TYPE, type) || !read(SO_DOMAIN, family))
    return Socket();
  if (listening == 0 || type != SOCK_STREAM || (family != AF_INET && family != AF_INET6))
    return Socket();
  // A connection that another process takes first would block an accept here.
  const int flags = fcntl(fd, F_GETFL);
  if (flags < 0 || fcntl(fd, F_SETFL, flags | O_NONBLOCK) != 0 || fcntl(fd, F_SETFD, FD_CLOEXEC) != 0) {
    return Socket();
  }
  return Socket(fd);
}

ConnectResult connect_to(const std::string& address) {
  const auto failed = [](int error_number) { return ConnectResult{Socket(), connect_error(error_number)}; };
  const Addresses at = resolve(address, 0);
  if (!at)
    return failed(EINVAL);
  Socket socket(system_calls::open_socket(at->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket)
    return failed(errno);
  no_delay(socket.fd());
  if (const int error_number = start_connect(socket, *at); error_number != 0)
    return failed(error_number);
  return {std::move(socket), std::nullopt};
}

AcceptResult accept_from(const Socket& listener) {
  AcceptResult result;
  for (int i = 0; i < kAcceptTries; ++i) {
    result.socket = Socket(system_calls::accept(listener.fd(), SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (result.socket) {
      no_delay(result.socket.fd());
      result.status = AcceptStatus::accepted;
      return result;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK)
      return result;
    if (accept_error(errno) == AcceptErrorKind::local_resource)
      break;
    if (errno != EINTR)
      ++result.connections_lost;
  }
  result.status = AcceptStatus::out_of_resources;
  return result;
}

PeerState peek_peer(const Socket& socket) {
  pollfd asked{socket.fd(), POLLIN | POLLRDHUP, 0};
  int found = -1;
  for (int i = 0; i < kPollTries && found < 0; ++i)
    found = system_calls::poll(&asked, 1, 0);
  if (found < 0)
    return peek(socket);
  if (found == 0)
    return PeerState::idle;
  return (asked.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0 ? PeerState::disconnected
                                                                           : PeerState::readable;
}

int pending_error(const Socket& socket) { return system_calls::pending_error(socket.fd()); }

std::string bound_address(const Socket& listener) {
  sockaddr_storage at{};
  socklen_t size = sizeof at;
  char host[NI_MAXHOST], port[NI_MAXSERV];
  auto* any = reinterpret_cast<sockaddr*>(&at);
  if (getsockname(listener.fd(), any, &size) != 0)
    return {};
  if (getnameinfo(any, size, host, sizeof host, port, sizeof port, NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
    return {};
  }
  return std::string(host) + ":" + port;
}

bool valid_address(const std::string& address) { return resolve(address, 0) != nullptr; }

}  // namespace lotusyard::net
