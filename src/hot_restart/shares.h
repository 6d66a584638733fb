// How much of an invoker's resource limits one process may use.
#pragma once

#include <cstddef>

namespace lotusyard::hot_restart {

// During a hot restart two processes are one invoker.
enum class ProcessRole {
  sole,        // no other process of this invoker is alive
  concurrent,  // another one is alive, and both admit clients
  draining     // another one has taken over; this one only finishes the work that it has
};

// The share of one process. Everything that divides the limits between processes is computed here.
struct ResourceShares {
  std::size_t clients = 0;          // connections that have sent a request
  std::size_t new_connections = 0;  // connections that have not
  std::size_t host_connections = 0;
  std::size_t admin_connections = 0;
  std::size_t unwritten = 0;         // bytes that wait to be sent
  std::size_t bodies = 0;            // bytes of open calls
  std::size_t incoming = 0;          // bytes of responses that are incomplete
  std::size_t functions = 0;         // bytes of what is known of the functions that clients have called
  std::size_t ended_refs = 0;        // bytes of the refs of attempts that have ended
  std::size_t idempotency_keys = 0;  // bytes of the keys that hosts may still recognise

  // All descriptors of the process, its own included.
  std::size_t descriptors() const;
  std::size_t bytes() const {
    return unwritten + bodies + incoming + functions + ended_refs + idempotency_keys;
  }
};

// The smallest limits with which an invoker works.
constexpr std::size_t kMinMemoryMb = 12;
constexpr std::size_t kMinSockets = 96;

// The share of a process in this role of the limits of its invoker. Does no I/O.
ResourceShares shares_of(std::size_t memory_mb, std::size_t sockets, ProcessRole role);

}  // namespace lotusyard::hot_restart
