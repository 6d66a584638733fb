#include "support/system_call_faults.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cerrno>

#include "net/system_calls.h"

namespace lotusyard::test {
namespace {

SystemCallFaults* current = nullptr;

// Returns true if the call has to fail, with errno set.
bool fails(SystemCall call) {
  const int error = current == nullptr ? 0 : current->next_error(call);
  if (error == 0)
    return false;
  errno = error;
  return true;
}

std::size_t transfer(std::size_t bytes) { return current == nullptr ? bytes : current->transfer(bytes); }

std::uint16_t port_of(const sockaddr* address) {
  if (address->sa_family != AF_INET)
    return 0;
  return ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
}

}  // namespace

SystemCallFaults::SystemCallFaults(std::uint64_t seed) : random_(seed) { current = this; }
SystemCallFaults::~SystemCallFaults() { current = nullptr; }
SystemCallFaults* SystemCallFaults::active() { return current; }

void SystemCallFaults::fail(SystemCall call, std::vector<int> errors, double chance, int most) {
  Rule& rule = at(call);
  rule.errors = std::move(errors);
  rule.chance = chance;
  rule.most = most;
}

void SystemCallFaults::fail_all(double chance) {
  fail(SystemCall::socket, {EMFILE, ENFILE, ENOBUFS, ENOMEM}, chance);
  fail(SystemCall::connect, {EADDRNOTAVAIL, EAGAIN, EINTR, ENETUNREACH, ENOBUFS}, chance);
  fail(SystemCall::accept, {ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO}, chance);
  fail(SystemCall::poll, {EINTR, ENOMEM}, chance);
  fail(SystemCall::receive, {EAGAIN, EINTR, ENOMEM, ENOBUFS}, chance);
  fail(SystemCall::send, {EAGAIN, EINTR, ENOBUFS, ENOMEM}, chance);
}

bool SystemCallFaults::happens(double chance) {
  return chance > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < chance;
}

int SystemCallFaults::next_error(SystemCall call) {
  Rule& rule = at(call);
  ++rule.calls;
  if (rule.errors.empty() || rule.failures >= rule.most || !happens(rule.chance))
    return 0;
  ++rule.failures;
  return rule.errors[random_() % rule.errors.size()];
}

std::size_t SystemCallFaults::transfer(std::size_t bytes) {
  return std::min({bytes, longest_transfer_, happens(short_transfer_chance_) ? std::size_t{1} : bytes});
}

}  // namespace lotusyard::test

namespace lotusyard::net::system_calls {

using test::SystemCall;

int open_socket(int family, int type) {
  return test::fails(SystemCall::socket) ? -1 : ::socket(family, type, 0);
}
int connect(int fd, const sockaddr* address, socklen_t size) {
  const auto* faults = test::SystemCallFaults::active();
  const bool applies = faults != nullptr && faults->applies_to_port(test::port_of(address));
  return applies && test::fails(SystemCall::connect) ? -1 : ::connect(fd, address, size);
}
int pending_error(int fd) {
  if (test::fails(SystemCall::pending_error))
    return errno;
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}
int accept(int listener, int flags) {
  return test::fails(SystemCall::accept) ? -1 : ::accept4(listener, nullptr, nullptr, flags);
}
int poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  if (!test::fails(SystemCall::poll))
    return ::poll(descriptors, count, timeout_ms);
  // A failed poll() does not report events: a caller must ignore them even if they look ready.
  for (nfds_t i = 0; i < count; ++i)
    descriptors[i].revents = POLLIN | POLLOUT;
  return -1;
}
ssize_t receive(int fd, void* bytes, std::size_t size, int flags) {
  return test::fails(SystemCall::receive) ? -1 : ::recv(fd, bytes, test::transfer(size), flags);
}
ssize_t send(int fd, const void* bytes, std::size_t size, int flags) {
  return test::fails(SystemCall::send) ? -1 : ::send(fd, bytes, test::transfer(size), flags);
}
int unacknowledged_bytes(int fd) {
  int bytes = 0;
  return ::ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : -1;
}

}  // namespace lotusyard::net::system_calls
