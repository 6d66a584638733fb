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

// Calls that a signal may interrupt are repeated at most this often.
constexpr int kMaxConnectAttempts = 4;
constexpr int kMaxPollAttempts = 4;

constexpr int kMaxAcceptAttempts = 64;  // a listener that returns nothing but errors is paused for a while
constexpr int kListenBacklog = 512;     // connections that wait to be accepted

using Addresses = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

// Parses a numeric address; null if it is invalid.
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

void disable_nagle(int fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

std::optional<int> socket_option(int fd, int option) {
  int value = 0;
  socklen_t size = sizeof value;
  if (getsockopt(fd, SOL_SOCKET, option, &value, &size) != 0)
    return std::nullopt;
  return value;
}

bool is_tcp_listener(int fd) {
  const auto listening = socket_option(fd, SO_ACCEPTCONN);
  const auto type = socket_option(fd, SO_TYPE);
  const auto family = socket_option(fd, SO_DOMAIN);
  const bool is_internet = family == AF_INET || family == AF_INET6;
  return listening.value_or(0) != 0 && type == SOCK_STREAM && is_internet;
}

// Returns 0 if the connection is established or in progress, else the error. A connect(2) that a signal
// interrupts continues in the background; a repeated call reports that as EALREADY or EISCONN.
int start_connect(const Socket& socket, const addrinfo& address) {
  for (int i = 0; i < kMaxConnectAttempts; ++i) {
    if (system_calls::connect(socket.fd(), address.ai_addr, address.ai_addrlen) == 0)
      return 0;
    if (errno == EINPROGRESS || errno == EALREADY || errno == EISCONN)
      return 0;
    if (errno != EINTR)
      return errno;
  }
  return 0;
}

// Approximates poll(2) by recv(2). A close behind unread bytes is not seen.
PeerState peek_by_receive(const Socket& socket) {
  char byte = 0;
  ssize_t received = -1;
  for (int i = 0; i < kMaxPollAttempts; ++i) {
    received = system_calls::receive(socket.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received >= 0 || errno != EINTR)
      break;
  }
  if (received == 0)
    return PeerState::disconnected;
  if (received > 0 || is_transient_shortage(errno) || errno == EINTR)
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
  const Addresses resolved = resolve(address, AI_PASSIVE);
  if (!resolved)
    return Socket();
  Socket socket(system_calls::open_socket(resolved->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket)
    return Socket();
  const int enabled = 1;
  setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind(socket.fd(), resolved->ai_addr, resolved->ai_addrlen) != 0 ||
      listen(socket.fd(), kListenBacklog) != 0)
    return Socket();
  return socket;
}

Socket adopt_listener(int fd) {
  if (!is_tcp_listener(fd))
    return Socket();
  // Non-blocking, because another process that shares the socket may accept a connection first.
  const int flags = fcntl(fd, F_GETFL);
  if (flags < 0 || fcntl(fd, F_SETFL, flags | O_NONBLOCK) != 0 || fcntl(fd, F_SETFD, FD_CLOEXEC) != 0)
    return Socket();
  return Socket(fd);
}

ConnectResult connect_to(const std::string& address) {
  const auto failed = [](int error_number) { return ConnectResult{Socket(), connect_error(error_number)}; };
  const Addresses resolved = resolve(address, 0);
  if (!resolved)
    return failed(EINVAL);
  Socket socket(system_calls::open_socket(resolved->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket)
    return failed(errno);
  disable_nagle(socket.fd());
  if (const int error_number = start_connect(socket, *resolved); error_number != 0)
    return failed(error_number);
  return {std::move(socket), std::nullopt};
}

AcceptResult accept_from(const Socket& listener) {
  AcceptResult result;
  for (int i = 0; i < kMaxAcceptAttempts; ++i) {
    result.socket = Socket(system_calls::accept(listener.fd(), SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (result.socket) {
      disable_nagle(result.socket.fd());
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
  pollfd polled{socket.fd(), POLLIN | POLLRDHUP, 0};
  int ready = -1;
  for (int i = 0; i < kMaxPollAttempts && ready < 0; ++i)
    ready = system_calls::poll(&polled, 1, 0);
  if (ready < 0)
    return peek_by_receive(socket);
  if (ready == 0)
    return PeerState::idle;
  const bool disconnected = (polled.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
  return disconnected ? PeerState::disconnected : PeerState::readable;
}

std::size_t undelivered_bytes(const Socket& socket) {
  return static_cast<std::size_t>(std::max(system_calls::unacknowledged_bytes(socket.fd()), 0));
}

int pending_error(const Socket& socket) { return system_calls::pending_error(socket.fd()); }

std::string bound_address(const Socket& listener) {
  sockaddr_storage storage{};
  socklen_t size = sizeof storage;
  auto* address = reinterpret_cast<sockaddr*>(&storage);
  if (getsockname(listener.fd(), address, &size) != 0)
    return {};
  char host[NI_MAXHOST];
  char port[NI_MAXSERV];
  const int flags = NI_NUMERICHOST | NI_NUMERICSERV;
  if (getnameinfo(address, size, host, sizeof host, port, sizeof port, flags) != 0)
    return {};
  return std::string(host) + ":" + port;
}

bool valid_address(const std::string& address) { return resolve(address, 0) != nullptr; }

}  // namespace lotusyard::net
