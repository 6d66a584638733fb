#include "hot_restart/shares.h"

#include <algorithm>

namespace lotusyard::hot_restart {
namespace {

// Standard streams, two listeners, the discovery stream, signals, the lock, a folder being read, and a few
// spare ones.
constexpr std::size_t kOwnDescriptors = 14;
// Code, libraries, configuration, tables without a share of their own, and unused memory of the heap.
constexpr std::size_t kOwnBytes = 6U << 20;
constexpr std::size_t kMinBufferBytes = 512U << 10;    // two of the longest responses
constexpr std::size_t kMinFunctionBytes = 1U << 20;    // over a thousand functions
constexpr std::size_t kMinEndedRefBytes = 512U << 10;  // 10 s of 300 calls a second

constexpr std::size_t kMinIdempotencyKeyBytes = 1U << 20;  // over two thousand keys

constexpr std::size_t kSocketsPerAdminConnection = 64;
constexpr std::size_t kMinAdminConnections = 4;
constexpr std::size_t kMaxAdminConnections = 16;

std::size_t subtract_or_zero(std::size_t value, std::size_t subtrahend) {
  return value - std::min(value, subtrahend);
}

std::size_t admin_connection_limit(std::size_t sockets) {
  const std::size_t wanted = std::max(sockets / kSocketsPerAdminConnection, kMinAdminConnections);
  return std::min(wanted, kMaxAdminConnections);
}

}  // namespace

std::size_t ResourceShares::descriptors() const {
  return kOwnDescriptors + clients + new_connections + host_connections + admin_connections;
}

ResourceShares shares_of(std::size_t memory_mb, std::size_t sockets, ProcessRole role) {
  const std::size_t processes = role == ProcessRole::sole ? 1 : 2;
  const std::size_t process_bytes = (memory_mb << 20) / processes;
  const std::size_t process_sockets = sockets / processes;
  ResourceShares shares;
  // Each kind of buffer gets a quarter of the memory, and the tables that clients can fill share the fourth
  // one. Incomplete responses have a bound of their own, because the length that a faulty host announces may
  // be wrong.
  const std::size_t quarter = subtract_or_zero(process_bytes, kOwnBytes) / 4;
  shares.unwritten = shares.bodies = shares.incoming = std::max(quarter, kMinBufferBytes);
  shares.functions = std::max(quarter / 2, kMinFunctionBytes);
  shares.ended_refs = std::max(quarter / 4, kMinEndedRefBytes);
  shares.idempotency_keys = std::max(quarter / 4, kMinIdempotencyKeyBytes);
  shares.admin_connections = admin_connection_limit(sockets);
  const std::size_t free = subtract_or_zero(process_sockets, kOwnDescriptors + shares.admin_connections);
  // The clients of one process get at most a third of the limit of both. The rest is divided between
  // connections to hosts and new connections.
  shares.clients = std::min(sockets / 3, free / 2);
  shares.host_connections = std::max<std::size_t>((free - shares.clients) / 2, 1);
  shares.new_connections = std::max<std::size_t>(free - shares.clients - shares.host_connections, 1);
  return shares;
}

}  // namespace lotusyard::hot_restart
