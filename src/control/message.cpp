#include "control/message.h"

#include "control/message_kind.h"
#include "raft/bytes.h"

namespace lotusyard::control {
namespace {

using raft::put32;
using raft::put64;
using raft::put8;
using raft::put_bytes;

void put_text(std::string& out, const std::string& text) { put_bytes(out, text.data(), text.size()); }
void put_duration(std::string& out, Millis duration) {
  put64(out, duration.count() <= 0 ? 0 : static_cast<std::uint64_t>(duration.count() * duration_units));
}
void put_terms(std::string& out, const raft::LeaseTerms& terms) {
  put_duration(out, terms.lease);
  put64(out, static_cast<std::uint64_t>(terms.clock_drift * static_cast<double>(drift_units) + 0.5));
  put_duration(out, terms.max_attempt_time);
  put_duration(out, terms.max_offline);
}
void put_share(std::string& out, const std::optional<double>& share) {
  put8(out, share ? 1 : 0);
  put64(out, share && *share > 0 ? static_cast<std::uint64_t>(*share * share_units) : 0);
}
void put_nodes(std::string& out, const std::vector<NodeAddress>& nodes) {
  const std::size_t count = std::min(nodes.size(), most_nodes_told);
  put32(out, static_cast<std::uint32_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    put_text(out, nodes[i].name);
    put_text(out, nodes[i].address);
    put_text(out, nodes[i].zone);
    put_text(out, nodes[i].region);
  }
}

// The body of each message, and its kind.
struct Encoder {
  std::string& out;
  MessageKind operator()(const Open& m) {
    put32(out, m.version);
    put_text(out, m.cluster);
    put_text(out, m.invoker);
    put_text(out, m.zone);
    put64(out, m.incarnation);
    put64(out, m.position);
    put_terms(out, m.terms);
    return MessageKind::open;
  }
  MessageKind operator()(const Welcome& m) {
    put_text(out, m.node);
    put64(out, m.node_life);
    put_nodes(out, m.nodes);
    return MessageKind::welcome;
  }
  MessageKind operator()(const Refusal& m) {
    put8(out, static_cast<unsigned>(m.reason));
    put_duration(out, m.retry_after);
    put_nodes(out, m.nodes);
    return MessageKind::refusal;
  }
  MessageKind operator()(const Renew& m) {
    put64(out, m.sequence);
    put64(out, m.applied);
    put64(out, m.settled);
    return MessageKind::renew;
  }
  MessageKind operator()(const Grant& m) {
    put64(out, m.sequence);
    put_duration(out, m.duration);
    put_share(out, m.share);
    return MessageKind::grant;
  }
  MessageKind operator()(const SnapshotChunk& m) {
    put64(out, m.index);
    put64(out, m.offset);
    put64(out, m.total);
    put_text(out, m.bytes);
    return MessageKind::snapshot_chunk;
  }
  MessageKind operator()(const Delta& m) {
    put64(out, m.after);
    put64(out, m.index);
    put_text(out, m.change);
    return MessageKind::delta;
  }
  MessageKind operator()(const Resume& m) {
    put64(out, m.position);
    return MessageKind::resume;
  }
  MessageKind operator()(const Close&) { return MessageKind::close; }
  MessageKind operator()(const Forward& m) {
    put_text(out, m.part);
    put_text(out, m.word);
    return MessageKind::forward;
  }
};

}  // namespace

const char* name_of(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::other_version:
      return "other_version";
    case RefusalReason::other_cluster:
      return "other_cluster";
    case RefusalReason::other_terms:
      return "other_terms";
    case RefusalReason::full:
      return "full";
    case RefusalReason::busy:
      return "busy";
    case RefusalReason::node_behind:
      return "node_behind";
    case RefusalReason::leaving:
      return "leaving";
  }
  return "unknown";
}

std::string encode(const Message& message) {
  std::string body;
  const MessageKind kind = std::visit(Encoder{body}, message);
  std::string out;
  out.reserve(frame_head + body.size());
  put32(out, static_cast<std::uint32_t>(body.size()));
  put8(out, static_cast<unsigned>(kind));
  out += body;
  return out;
}

}  // namespace lotusyard::control
