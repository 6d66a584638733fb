// How messages are read back from a byte stream.
#include "control/message.h"
#include "control/message_kind.h"
#include "raft/bytes.h"

namespace lotusyard::control {
namespace {

using raft::Reader;

constexpr double kLongestDuration = 1e9;  // in milliseconds; longer ones are malformed

// Reads one body; a field that breaks a bound makes the whole of it malformed.
class BodyReader {
 public:
  explicit BodyReader(std::string_view body) : reader_(body) {}
  bool finished() const { return valid_ && reader_.ended(); }
  std::uint64_t number(std::size_t bytes) { return reader_.number(bytes); }
  std::string text() { return std::string(reader_.bytes()); }
  std::string name() {
    std::string out = text();
    if (out.size() > longest_name)
      valid_ = false;
    return out;
  }
  Millis duration() {
    const double out = static_cast<double>(number(8)) / duration_units;
    if (out > kLongestDuration)
      valid_ = false;
    return Millis(out);
  }
  raft::LeaseTerms terms() {
    raft::LeaseTerms out;
    out.lease = duration();
    out.clock_drift = static_cast<double>(number(8)) / static_cast<double>(drift_units);
    out.max_attempt_time = duration();
    out.max_offline = duration();
    return out;
  }
  std::optional<double> share() {
    const std::uint64_t told = number(1);
    const double out = static_cast<double>(number(8)) / share_units;
    if (told > 1 || out > 1)
      valid_ = false;
    return told == 1 ? std::optional<double>(out) : std::nullopt;
  }
  std::vector<NodeAddress> nodes() {
    std::vector<NodeAddress> out;
    const std::uint64_t count = number(4);
    if (count > most_nodes_told)
      valid_ = false;
    for (std::uint64_t i = 0; valid_ && reader_.sound() && i < count; ++i) {
      NodeAddress node;
      node.name = name();
      node.address = name();
      node.zone = name();
      node.region = name();
      out.push_back(std::move(node));
    }
    return out;
  }
  RefusalReason reason() {
    const std::uint64_t value = number(1);
    const auto last = static_cast<std::uint64_t>(RefusalReason::leaving);
    if (value < 1 || value > last)
      valid_ = false;
    return valid_ ? static_cast<RefusalReason>(value) : RefusalReason::full;
  }

 private:
  Reader reader_;
  bool valid_ = true;
};

Open read_open(BodyReader& body) {
  Open out;
  out.version = static_cast<std::uint32_t>(body.number(4));
  out.cluster = body.name();
  out.invoker = body.name();
  out.zone = body.name();
  out.incarnation = body.number(8);
  out.position = body.number(8);
  out.terms = body.terms();
  return out;
}

Welcome read_welcome(BodyReader& body) {
  Welcome out;
  out.node = body.name();
  out.node_life = body.number(8);
  out.nodes = body.nodes();
  return out;
}

Refusal read_refusal(BodyReader& body) {
  Refusal out;
  out.reason = body.reason();
  out.retry_after = body.duration();
  out.nodes = body.nodes();
  return out;
}

Renew read_renew(BodyReader& body) {
  Renew out;
  out.sequence = body.number(8);
  out.applied = body.number(8);
  out.settled = body.number(8);
  return out;
}

Grant read_grant(BodyReader& body) {
  Grant out;
  out.sequence = body.number(8);
  out.duration = body.duration();
  out.share = body.share();
  return out;
}

SnapshotChunk read_snapshot_chunk(BodyReader& body) {
  SnapshotChunk out;
  out.index = body.number(8);
  out.offset = body.number(8);
  out.total = body.number(8);
  out.bytes = body.text();
  return out;
}

Delta read_delta(BodyReader& body) {
  Delta out;
  out.after = body.number(8);
  out.index = body.number(8);
  out.change = body.text();
  return out;
}

Forward read_forward(BodyReader& body) {
  Forward out;
  out.part = body.name();
  out.word = body.text();
  return out;
}

std::optional<Message> decode(MessageKind kind, std::string_view bytes) {
  BodyReader body(bytes);
  std::optional<Message> out;
  switch (kind) {
    case MessageKind::open:
      out = read_open(body);
      break;
    case MessageKind::welcome:
      out = read_welcome(body);
      break;
    case MessageKind::refusal:
      out = read_refusal(body);
      break;
    case MessageKind::renew:
      out = read_renew(body);
      break;
    case MessageKind::grant:
      out = read_grant(body);
      break;
    case MessageKind::snapshot_chunk:
      out = read_snapshot_chunk(body);
      break;
    case MessageKind::delta:
      out = read_delta(body);
      break;
    case MessageKind::resume:
      out = Resume{body.number(8)};
      break;
    case MessageKind::close:
      out = Close{};
      break;
    case MessageKind::forward:
      out = read_forward(body);
      break;
  }
  if (!body.finished())
    return std::nullopt;
  return out;
}

}  // namespace

bool MessageReader::parse(std::string_view bytes, std::vector<Message>& out) {
  if (!sound_)
    return false;
  held_ += bytes;
  std::size_t at = 0;
  while (held_.size() - at >= frame_head) {
    Reader head(std::string_view(held_).substr(at, frame_head));
    const std::size_t size = head.number(4);
    const auto kind = static_cast<MessageKind>(head.number(1));
    sound_ = size <= longest_frame_ && kind >= MessageKind::open && kind <= MessageKind::forward;
    if (!sound_ || held_.size() - at - frame_head < size)
      break;
    auto message = decode(kind, std::string_view(held_).substr(at + frame_head, size));
    sound_ = message.has_value();
    if (!sound_)
      break;
    out.push_back(std::move(*message));
    at += frame_head + size;
  }
  held_.erase(0, at);
  return sound_;
}

}  // namespace lotusyard::control
