// Messages between an invoker and the control node that holds its session, and their binary encoding.
//
// Every message is one frame: a 32-bit length, an 8-bit kind, the body. Integers are big-endian, texts stand
// behind their length. The reader is bounded and accepts nothing that is incomplete or malformed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "raft/lease.h"

namespace lotusyard::control {

using policy::Millis;

// An index of the agreed log. A replica at index N has every change up to N and none after it.
using Index = std::uint64_t;

constexpr std::uint32_t protocol_version = 1;
// The bounds of one frame's body, by the direction in which it travels.
constexpr std::size_t longest_to_node = 300U << 10;
constexpr std::size_t longest_to_invoker = 600U << 10;
constexpr std::size_t longest_name = 128;
constexpr std::size_t most_nodes_told = 64;

// Where a control node listens for sessions.
struct NodeAddress {
  std::string name, address, zone, region;
};
inline bool operator==(const NodeAddress& a, const NodeAddress& b) {
  return a.name == b.name && a.address == b.address && a.zone == b.zone && a.region == b.region;
}

// Invoker to node, first on each connection: asks for a session that continues at `position`.
struct Open {
  std::uint32_t version = protocol_version;
  std::string cluster, invoker, zone;
  std::uint64_t incarnation = 0;  // chosen anew by each process; the same on all its connections
  Index position = 0;             // what its replica holds; 0: nothing
  raft::LeaseTerms terms;         // must equal the node's
};

// Node to invoker: the session is open. `nodes` are others that it may move to.
struct Welcome {
  std::string node;
  std::uint64_t node_life = 0;
  std::vector<NodeAddress> nodes;
};

enum class RefusalReason : std::uint8_t {
  other_version = 1,
  other_cluster,
  other_terms,
  full,         // the node holds as many sessions as it may
  busy,         // too many opened at once; try again after `retry_after`
  node_behind,  // the node's own state is older than the invoker's
  leaving       // the node is going to end
};
const char* name_of(RefusalReason reason);

// Node to invoker: there is no session, or none any more. The connection ends.
struct Refusal {
  RefusalReason reason = RefusalReason::full;
  Millis retry_after{0};
  std::vector<NodeAddress> nodes;
};

// Invoker to node: renews the lease and reports progress.
struct Renew {
  std::uint64_t sequence = 0;  // grows by one with each renewal on a connection
  Index applied = 0;           // the replica's index
  Index settled = 0;  // nothing that a change up to here forbids is still under way; never above `applied`
};

// Node to invoker: the lease lasts for `duration` from the moment at which the invoker sent the renewal of
// that sequence number, by the invoker's own clock. 0: no lease. `share`: what this invoker may use, for as
// long, of what the group divides among all; absent: the node divides nothing.
struct Grant {
  std::uint64_t sequence = 0;
  Millis duration{0};
  std::optional<double> share = std::nullopt;
};

// Node to invoker: a piece of the encoded state as of `index`. Pieces come in order, from offset 0 on.
struct SnapshotChunk {
  Index index = 0;
  std::uint64_t offset = 0, total = 0;
  std::string bytes;
};

// Node to invoker: one change. There is no other change behind `after` and before `index`.
struct Delta {
  Index after = 0, index = 0;
  std::string change;  // encoded, see change.h
};

// Invoker to node: a delta was missing; continue behind `position`.
struct Resume {
  Index position = 0;
};

// Invoker to node: the session ends on purpose, and its lease is given up.
struct Close {};

// Invoker to node: a word for the group's leader, from the part of that kind.
struct Forward {
  std::string part, word;
};

using Message =
    std::variant<Open, Welcome, Refusal, Renew, Grant, SnapshotChunk, Delta, Resume, Close, Forward>;

// The message as one frame.
std::string encode(const Message& message);

// Splits a byte stream into messages. Once a frame is malformed or too long everything after it is refused.
class MessageReader {
 public:
  explicit MessageReader(std::size_t longest_frame) : longest_frame_(longest_frame) {}
  // Appends whole messages to `out`; false: the stream is malformed.
  bool parse(std::string_view bytes, std::vector<Message>& out);

 private:
  std::size_t longest_frame_;
  std::string held_;
  bool sound_ = true;
};

}  // namespace lotusyard::control
