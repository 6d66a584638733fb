#include "hot_restart/shares.h"

#include <algorithm>

namespace lotusyard::hot_restart {
namespace {

// Standard streams, two listeners, the change log, signals, the lock, a folder being read, and some to spare.
constexpr std::size_t kOwnDescriptors = 14;
// Code, libraries, configuration, the module's tables, and what a heap leaves unused.
constexpr std::size_t kOwnBytes = 6U << 20;
constexpr std::size_t kLeastPart = 512U << 10;  // two of the longest answers

}  // namespace

std::size_t ResourceShares::descriptors() const {
  return kOwnDescriptors + clients + new_connections + links + callers;
}

ResourceShares shares_of(std::size_t memory_mb, std::size_t sockets, ProcessRole standing) {
  const std::size_t processes = standing == ProcessRole::sole ? 1 : 2;
  const std::size_t bytes = (memory_mb << 20) / processes, mine = sockets / processes;
  ResourceShares out;
  // A quarter of what is left may wait unwritten, a quarter be bodies of open calls, a quarter answers that
  // are not whole yet: a length is only what a host says, a spoilt one says anything.
  const std::size_t part = std::max((bytes - std::min(bytes, kOwnBytes)) / 4, kLeastPart);
  out.unwritten = out.bodies = out.incoming = part;
  out.callers = std::min<std::size_t>(std::max<std::size_t>(sockets / 64, 4), 16);
  const std::size_t taken = kOwnDescriptors + out.callers;
  const std::size_t free = mine - std::min(mine, taken);
  // Clients hold at most a third of the limit, of both processes together. The rest is parted between links
  // and connections that have not asked yet.
  out.clients = std::min(sockets / 3, free / 2);
  out.links = std::max<std::size_t>((free - out.clients) / 2, 1);
  out.new_connections = std::max<std::size_t>(free - out.clients - out.links, 1);
  return out;
}

}  // namespace lotusyard::hot_restart
