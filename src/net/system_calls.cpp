#include "net/system_calls.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <cerrno>

namespace lotusyard::net::system_calls {

int open_socket(int family, int type) { return ::socket(family, type, 0); }
int connect(int fd, const sockaddr* address, socklen_t size) { return ::connect(fd, address, size); }
int pending_error(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}
int accept(int listener, int flags) { return ::accept4(listener, nullptr, nullptr, flags); }
int poll(pollfd* descriptors, nfds_t count, int timeout_ms) { return ::poll(descriptors, count, timeout_ms); }
ssize_t receive(int fd, void* bytes, std::size_t size, int flags) { return ::recv(fd, bytes, size, flags); }
ssize_t send(int fd, const void* bytes, std::size_t size, int flags) {
  return ::send(fd, bytes, size, flags);
}
int unacknowledged_bytes(int fd) {
  int bytes = 0;
  return ::ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : -1;
}

}  // namespace lotusyard::net::system_calls
