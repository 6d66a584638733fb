// A model of an invoker's process: its replica, its lease by the node's clock, and its calls.
#pragma once

#include <algorithm>

#include "control/node_transport.h"

namespace lotusyard::test {

using namespace control;  // nearly every name of it is used

constexpr double kRounding = 1e-6;
constexpr double kScenarioDrift = 0.01;
inline const raft::LeaseTerms kScenarioTerms{Millis(3000), kScenarioDrift, Millis(2000)};
constexpr Index kEarlyPosition = 7;  // of invokers that had sessions with an earlier process of the node

struct Call {
  Index position = 0;  // it respects the changes up to here
  Millis until{0};
};

struct ScenarioCounts {
  int grants = 0, floors = 0, snapshots = 0, deltas = 0;
};

// The state when a renewal was sent; the node handles it at once.
struct Renewal {
  Millis sent{0}, node_lease_until{0};
};

// One process of an invoker.
struct Process {
  std::string name;
  std::uint64_t incarnation = 0;
  double clock_rate = 1;  // of the node's clock to its own
  Index position = 0;
  Records records;
  Millis lease_until{0};
  bool granted = false;  // by the current process of the node, not only by an earlier one
  std::vector<Call> calls;
  NodeTransport::ConnectionId connection = 0;  // 0: none
  bool is_open = false;
  std::uint64_t sequence = 0;
  std::map<std::uint64_t, Renewal> renewals;  // by their sequence number
  std::string chunks;

  bool holds_lease(Millis now) const { return now < lease_until; }
  Index quiesced_index(Millis now) const {
    Index out = position;
    for (const Call& call : calls) {
      if (now < call.until)
        out = std::min(out, call.position);
    }
    return out;
  }
  // Returns the rule that the message violates, or an empty string.
  std::string handle(const Message& message, ScenarioCounts& counts) {
    if (std::holds_alternative<Welcome>(message))
      is_open = true;
    if (std::holds_alternative<Refusal>(message))
      return "a refusal without a reason";
    if (const auto* grant = std::get_if<Grant>(&message))
      return on_grant(*grant, counts);
    if (const auto* chunk = std::get_if<SnapshotChunk>(&message))
      return on_chunk(*chunk, counts);
    if (const auto* delta = std::get_if<Delta>(&message))
      return on_delta(*delta, counts);
    return {};
  }

 private:
  std::string on_grant(const Grant& grant, ScenarioCounts& counts) {
    const Renewal& renewal = renewals.at(grant.sequence);
    if (grant.duration.count() <= 0)
      return {};
    ++counts.grants;
    const Millis until = renewal.sent + grant.duration * clock_rate;
    if (until > renewal.node_lease_until + Millis(kRounding))
      return "a lease that outlasts the node's own";
    lease_until = std::max(lease_until, until);
    granted = true;
    return {};
  }
  std::string on_chunk(const SnapshotChunk& chunk, ScenarioCounts& counts) {
    if (chunk.offset == 0)
      chunks.clear();
    if (chunk.offset != chunks.size())
      return "a chunk of a snapshot is missing";
    chunks += chunk.bytes;
    if (chunks.size() < chunk.total || chunk.index <= position)
      return {};
    ++counts.snapshots;
    position = chunk.index;
    records = decode_records(chunks).value();
    return {};
  }
  std::string on_delta(const Delta& delta, ScenarioCounts& counts) {
    if (delta.index <= position)
      return {};
    if (delta.after > position)
      return "a change was left out";
    if (position == kEarlyPosition)
      return "a change that cannot be applied there";
    ++counts.deltas;
    control::apply(records, decode_change(delta.change).value());
    position = delta.index;
    return {};
  }
};

}  // namespace lotusyard::test
