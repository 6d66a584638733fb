// The messages between an invoker and the control node that holds its session. message_codec.h
// defines the wire format.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "raft/lease.h"

namespace lotusyard::control {

using policy::Millis;

// An index of the replicated log. A replica at index N has every change up to N and none after it.
using Index = std::uint64_t;

constexpr std::uint32_t kProtocolVersion = 1;
// Bounds of fields; a message that breaks one is malformed.
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxNodesInMessage = 64;

// Where a control node listens for sessions.
struct NodeAddress {
  std::string name, address, zone, region;
};
inline bool operator==(const NodeAddress& a, const NodeAddress& b) {
  return a.name == b.name && a.address == b.address && a.zone == b.zone && a.region == b.region;
}

// Invoker to node, the first message of each connection: requests a session that continues at `position`.
struct Open {
  std::uint32_t version = kProtocolVersion;
  std::string cluster, invoker, zone;
  std::uint64_t incarnation = 0;  // chosen at random by each process; the same on all its connections
  Index position = 0;             // the position of its replica; 0: it is empty
  raft::LeaseTerms terms;         // must equal the node's
};

// Node to invoker: the session is open. `nodes` are the other nodes, to which it may reconnect.
struct Welcome {
  std::string node;
  std::uint64_t node_incarnation = 0;
  std::vector<NodeAddress> nodes;
};

enum class RefusalReason : std::uint8_t {
  other_version = 1,
  other_cluster,
  other_terms,
  full,         // the node has its maximum of sessions
  busy,         // too many sessions are opening at once; retry after `retry_after`
  node_behind,  // the node's own state is older than the invoker's
  draining      // the node is shutting down
};
// The reason as it appears in the names of counters.
const char* name_of(RefusalReason reason);

// Node to invoker: there is no session, or it has ended. The connection is closed.
struct Refusal {
  RefusalReason reason = RefusalReason::full;
  Millis retry_after{0};
  std::vector<NodeAddress> nodes;
};

// Invoker to node: renews the lease and reports progress.
struct Renew {
  std::uint64_t sequence = 0;  // grows by one with each renewal on a connection
  Index applied = 0;           // the index of the replica
  // No call that a change up to here forbids is in flight any more; at most `applied`.
  Index quiesced_index = 0;
};

// Node to invoker: the lease lasts for `duration` from the time at which the invoker sent the renewal of
// that sequence number, by the invoker's own clock. 0: no lease.
struct Grant {
  std::uint64_t sequence = 0;
  Millis duration{0};
  // What this invoker may use, for as long, of a budget of the whole fleet. Empty: the node divides no
  // budget.
  std::optional<double> share = std::nullopt;
};

// Node to invoker: a part of the serialized state as of `index`. Chunks come in order, from offset 0 on.
struct SnapshotChunk {
  Index index = 0;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;
};

// Node to invoker: one change. There is no other change after `after` and before `index`.
struct Delta {
  Index after = 0;
  Index index = 0;
  std::string change;  // serialized, see change.h
};

// Invoker to node: a delta was missing; the node continues after `position`.
struct Resume {
  Index position = 0;
};

// Invoker to node: the process ends, and the invoker has stopped using its lease.
struct Close {};

// Invoker to node: a message for the replicated state machine of that name.
struct Forward {
  std::string state_machine;
  std::string payload;
};

using Message =
    std::variant<Open, Welcome, Refusal, Renew, Grant, SnapshotChunk, Delta, Resume, Close, Forward>;

}  // namespace lotusyard::control
