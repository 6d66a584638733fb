#include "control/message_body.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "control/field_codec.h"

namespace lotusyard::control {
namespace {

constexpr double kDriftUnitsPerOne = 1e6;
constexpr double kShareUnitsPerOne = 1e15;
constexpr double kRoundToNearest = 0.5;

static_assert(std::variant_size_v<Message> == static_cast<std::size_t>(MessageKind::forward));

// The writer and the reader of each field and of each message's body follow each other.

void write(FieldWriter& out, const raft::LeaseTerms& terms) {
  out.duration(terms.lease);
  out.u64(static_cast<std::uint64_t>(terms.clock_drift * kDriftUnitsPerOne + kRoundToNearest));
  out.duration(terms.max_attempt_time);
  out.duration(terms.max_offline);
}
void read(FieldReader& in, raft::LeaseTerms& terms) {
  terms.lease = in.duration();
  terms.clock_drift = static_cast<double>(in.u64()) / kDriftUnitsPerOne;
  terms.max_attempt_time = in.duration();
  terms.max_offline = in.duration();
}

void write(FieldWriter& out, const NodeAddress& node) {
  out.text(node.name);
  out.text(node.address);
  out.text(node.zone);
  out.text(node.region);
}
void read(FieldReader& in, NodeAddress& node) {
  node.name = in.name();
  node.address = in.name();
  node.zone = in.name();
  node.region = in.name();
}

// Nodes beyond the bound are left out.
void write(FieldWriter& out, const std::vector<NodeAddress>& nodes) {
  const std::size_t count = std::min(nodes.size(), kMaxNodesInMessage);
  out.u32(static_cast<std::uint32_t>(count));
  for (std::size_t i = 0; i < count; ++i)
    write(out, nodes[i]);
}
void read(FieldReader& in, std::vector<NodeAddress>& nodes) {
  const std::uint32_t count = in.u32();
  if (count > kMaxNodesInMessage)
    in.reject();
  for (std::uint32_t i = 0; in.sound() && i < count; ++i)
    read(in, nodes.emplace_back());
}

void write(FieldWriter& out, RefusalReason reason) { out.u8(static_cast<unsigned>(reason)); }
void read(FieldReader& in, RefusalReason& reason) {
  const auto value = static_cast<RefusalReason>(in.u8());
  if (value < RefusalReason::other_version || value > RefusalReason::draining)
    return in.reject();
  reason = value;
}

// Whether there is a share, and then the share from 0 to 1.
void write(FieldWriter& out, const std::optional<double>& share) {
  out.u8(share ? 1 : 0);
  const bool is_positive = share && *share > 0;
  out.u64(is_positive ? static_cast<std::uint64_t>(*share * kShareUnitsPerOne) : 0);
}
void read(FieldReader& in, std::optional<double>& share) {
  const std::uint8_t has_share = in.u8();
  const double value = static_cast<double>(in.u64()) / kShareUnitsPerOne;
  if (has_share > 1 || value > 1)
    in.reject();
  if (has_share == 1)
    share = value;
}

void write(FieldWriter& out, const Open& open) {
  out.u32(open.version);
  out.text(open.cluster);
  out.text(open.invoker);
  out.text(open.zone);
  out.u64(open.incarnation);
  out.u64(open.position);
  write(out, open.terms);
}
void read(FieldReader& in, Open& open) {
  open.version = in.u32();
  open.cluster = in.name();
  open.invoker = in.name();
  open.zone = in.name();
  open.incarnation = in.u64();
  open.position = in.u64();
  read(in, open.terms);
}

void write(FieldWriter& out, const Welcome& welcome) {
  out.text(welcome.node);
  out.u64(welcome.node_incarnation);
  write(out, welcome.nodes);
}
void read(FieldReader& in, Welcome& welcome) {
  welcome.node = in.name();
  welcome.node_incarnation = in.u64();
  read(in, welcome.nodes);
}

void write(FieldWriter& out, const Refusal& refusal) {
  write(out, refusal.reason);
  out.duration(refusal.retry_after);
  write(out, refusal.nodes);
}
void read(FieldReader& in, Refusal& refusal) {
  read(in, refusal.reason);
  refusal.retry_after = in.duration();
  read(in, refusal.nodes);
}

void write(FieldWriter& out, const Renew& renew) {
  out.u64(renew.sequence);
  out.u64(renew.applied);
  out.u64(renew.quiesced_index);
}
void read(FieldReader& in, Renew& renew) {
  renew.sequence = in.u64();
  renew.applied = in.u64();
  renew.quiesced_index = in.u64();
}

void write(FieldWriter& out, const Grant& grant) {
  out.u64(grant.sequence);
  out.duration(grant.duration);
  write(out, grant.share);
}
void read(FieldReader& in, Grant& grant) {
  grant.sequence = in.u64();
  grant.duration = in.duration();
  read(in, grant.share);
}

void write(FieldWriter& out, const SnapshotChunk& chunk) {
  out.u64(chunk.index);
  out.u64(chunk.offset);
  out.u64(chunk.total);
  out.text(chunk.bytes);
}
void read(FieldReader& in, SnapshotChunk& chunk) {
  chunk.index = in.u64();
  chunk.offset = in.u64();
  chunk.total = in.u64();
  chunk.bytes = in.text();
}

void write(FieldWriter& out, const Delta& delta) {
  out.u64(delta.after);
  out.u64(delta.index);
  out.text(delta.change);
}
void read(FieldReader& in, Delta& delta) {
  delta.after = in.u64();
  delta.index = in.u64();
  delta.change = in.text();
}

void write(FieldWriter& out, const Resume& resume) { out.u64(resume.position); }
void read(FieldReader& in, Resume& resume) { resume.position = in.u64(); }

void write(FieldWriter& /*out*/, const Close& /*close*/) {}
void read(FieldReader& /*in*/, Close& /*close*/) {}

void write(FieldWriter& out, const Forward& forward) {
  out.text(forward.state_machine);
  out.text(forward.payload);
}
void read(FieldReader& in, Forward& forward) {
  forward.state_machine = in.name();
  forward.payload = in.text();
}

template <typename Type>
std::optional<Message> decode_as(std::string_view body) {
  FieldReader in(body);
  Type message;
  read(in, message);
  if (!in.finished())
    return std::nullopt;
  return message;
}

}  // namespace

MessageKind kind_of(const Message& message) {
  return static_cast<MessageKind>(message.index() + static_cast<std::size_t>(MessageKind::open));
}

std::string encode_body(const Message& message) {
  std::string body;
  FieldWriter out(body);
  std::visit([&out](const auto& typed) { write(out, typed); }, message);
  return body;
}

std::optional<Message> decode_body(MessageKind kind, std::string_view body) {
  switch (kind) {
    case MessageKind::open:
      return decode_as<Open>(body);
    case MessageKind::welcome:
      return decode_as<Welcome>(body);
    case MessageKind::refusal:
      return decode_as<Refusal>(body);
    case MessageKind::renew:
      return decode_as<Renew>(body);
    case MessageKind::grant:
      return decode_as<Grant>(body);
    case MessageKind::snapshot_chunk:
      return decode_as<SnapshotChunk>(body);
    case MessageKind::delta:
      return decode_as<Delta>(body);
    case MessageKind::resume:
      return decode_as<Resume>(body);
    case MessageKind::close:
      return decode_as<Close>(body);
    case MessageKind::forward:
      return decode_as<Forward>(body);
  }
  return std::nullopt;
}

}  // namespace lotusyard::control
