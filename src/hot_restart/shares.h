// What a process may hold of the limits. Two that take turns, one to replace the other, are one invoker: the
// limits are of both together, and this is the one place where they are parted. No I/O.
#pragma once

#include <cstddef>

namespace lotusyard::hot_restart {

enum class ProcessRole {
  sole,        // no other process of this invoker lives
  concurrent,  // another one lives, and both take clients
  draining,    // another one has taken over; what is open here is brought to its end
};

struct ResourceShares {
  std::size_t clients = 0, new_connections = 0;  // connections that have asked something, and not yet
  std::size_t links = 0;                         // connections to hosts
  std::size_t callers = 0;                       // of the admin endpoint
  std::size_t unwritten = 0;                     // bytes that wait to be written
  std::size_t bodies = 0;                        // bytes of open calls
  std::size_t incoming = 0;                      // bytes of answers that are not whole yet
  std::size_t descriptors() const;               // all of a process, its own included
  std::size_t bytes() const { return unwritten + bodies + incoming; }
};

constexpr std::size_t least_memory_mb = 12, least_sockets = 96;

ResourceShares shares_of(std::size_t memory_mb, std::size_t sockets, ProcessRole standing);

}  // namespace lotusyard::hot_restart
