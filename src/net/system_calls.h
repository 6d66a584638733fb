// The system calls on sockets. Each function passes its arguments on unchanged.
//
// They have an object file of their own, so that a test program can link other definitions, in which calls
// fail in the ways that their manual pages list.
#pragma once

#include <poll.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <cstddef>

namespace lotusyard::net::system_calls {

int open_socket(int family, int type);
int connect(int fd, const sockaddr* address, socklen_t size);
// The error of a connect that has finished; 0 if there is none. Clears it.
int pending_error(int fd);
int accept(int listener, int flags);
int poll(pollfd* descriptors, nfds_t count, int timeout_ms);
ssize_t receive(int fd, void* bytes, std::size_t size, int flags);
ssize_t send(int fd, const void* bytes, std::size_t size, int flags);
// Bytes that were sent and that the peer has not acknowledged (SIOCOUTQ in tcp(7)); -1 with errno on failure.
int unacknowledged_bytes(int fd);

}  // namespace lotusyard::net::system_calls
