// The system calls through which sockets do their work: each passes its arguments on unchanged.
//
// They stand in one object file of their own, so that a test program can link other definitions in its place
// and let calls fail as their manuals say. Nothing else in the program knows of that.
#pragma once

#include <poll.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <cstddef>

namespace lotusyard::net::system_calls {

int open_socket(int family, int type);
int connect(int fd, const sockaddr* address, socklen_t size);
int pending_error(int fd);  // of a connect that was decided, and clears it; 0: none
int accept(int listener, int flags);
int poll(pollfd* descriptors, nfds_t count, int timeout_ms);
ssize_t receive(int fd, void* bytes, std::size_t size, int flags);
ssize_t send(int fd, const void* bytes, std::size_t size, int flags);

}  // namespace lotusyard::net::system_calls
