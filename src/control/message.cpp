#include "control/message.h"

#include "group/bytes.h"

namespace lotusyard::control {
namespace {

using group::put32;
using group::put64;
using group::put8;
using group::put_bytes;
using group::Reader;

constexpr std::size_t kHead = 5;                // length and kind
constexpr double kMicroseconds = 1000;          // durations go out in these
constexpr double kLongestDuration = 1e9;        // in milliseconds; longer ones are malformed
constexpr std::uint64_t kDriftUnits = 1000000;  // the drift goes out in millionths
constexpr double kShareUnits = 1e15;            // and shares of 1 in these

// The kinds on the wire; each stands for one alternative of `Message`.
enum class Kind : std::uint8_t {
  open = 1,
  welcome,
  refusal,
  renew,
  grant,
  snapshot_chunk,
  delta,
  resume,
  close,
  forward
};

void put_text(std::string& out, const std::string& text) { put_bytes(out, text.data(), text.size()); }
void put_duration(std::string& out, Millis duration) {
  put64(out, duration.count() <= 0 ? 0 : static_cast<std::uint64_t>(duration.count() * kMicroseconds));
}
void put_terms(std::string& out, const group::Terms& terms) {
  put_duration(out, terms.lease);
  put64(out, static_cast<std::uint64_t>(terms.drift * static_cast<double>(kDriftUnits) + 0.5));
  put_duration(out, terms.last_call);
  put_duration(out, terms.offline);
}
void put_share(std::string& out, const std::optional<double>& share) {
  put8(out, share ? 1 : 0);
  put64(out, share && *share > 0 ? static_cast<std::uint64_t>(*share * kShareUnits) : 0);
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

// Reads one body; a field that breaks a bound makes the whole of it malformed.
class BodyReader {
 public:
  explicit BodyReader(std::string_view body) : reader_(body) {}
  bool finished() const { return valid_ && reader_.ended(); }
  std::uint64_t number(std::size_t bytes) { return reader_.number(bytes); }
  std::string text() { return std::string(reader_.bytes()); }
  std::string name() {
    std::string out = text();
    if (out.size() > longest_name) valid_ = false;
    return out;
  }
  Millis duration() {
    const double out = static_cast<double>(number(8)) / kMicroseconds;
    if (out > kLongestDuration) valid_ = false;
    return Millis(out);
  }
  group::Terms terms() {
    group::Terms out;
    out.lease = duration();
    out.drift = static_cast<double>(number(8)) / static_cast<double>(kDriftUnits);
    out.last_call = duration();
    out.offline = duration();
    return out;
  }
  std::optional<double> share() {
    const std::uint64_t told = number(1);
    const double out = static_cast<double>(number(8)) / kShareUnits;
    if (told > 1 || out > 1) valid_ = false;
    return told == 1 ? std::optional<double>(out) : std::nullopt;
  }
  std::vector<NodeAddress> nodes() {
    std::vector<NodeAddress> out;
    const std::uint64_t count = number(4);
    if (count > most_nodes_told) valid_ = false;
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
    if (value < 1 || value > last) valid_ = false;
    return valid_ ? static_cast<RefusalReason>(value) : RefusalReason::full;
  }

 private:
  Reader reader_;
  bool valid_ = true;
};

// The body of each message, and its kind.
struct Encoder {
  std::string& out;
  Kind operator()(const Open& m) {
    put32(out, m.version);
    put_text(out, m.cluster);
    put_text(out, m.invoker);
    put_text(out, m.zone);
    put64(out, m.incarnation);
    put64(out, m.position);
    put_terms(out, m.terms);
    return Kind::open;
  }
  Kind operator()(const Welcome& m) {
    put_text(out, m.node);
    put64(out, m.node_life);
    put_nodes(out, m.nodes);
    return Kind::welcome;
  }
  Kind operator()(const Refusal& m) {
    put8(out, static_cast<unsigned>(m.reason));
    put_duration(out, m.retry_after);
    put_nodes(out, m.nodes);
    return Kind::refusal;
  }
  Kind operator()(const Renew& m) {
    put64(out, m.sequence);
    put64(out, m.applied);
    put64(out, m.settled);
    return Kind::renew;
  }
  Kind operator()(const Grant& m) {
    put64(out, m.sequence);
    put_duration(out, m.duration);
    put_share(out, m.share);
    return Kind::grant;
  }
  Kind operator()(const SnapshotChunk& m) {
    put64(out, m.index);
    put64(out, m.offset);
    put64(out, m.total);
    put_text(out, m.bytes);
    return Kind::snapshot_chunk;
  }
  Kind operator()(const Delta& m) {
    put64(out, m.after);
    put64(out, m.index);
    put_text(out, m.change);
    return Kind::delta;
  }
  Kind operator()(const Resume& m) {
    put64(out, m.position);
    return Kind::resume;
  }
  Kind operator()(const Close&) { return Kind::close; }
  Kind operator()(const Forward& m) {
    put_text(out, m.part);
    put_text(out, m.word);
    return Kind::forward;
  }
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

std::optional<Message> decode(Kind kind, std::string_view bytes) {
  BodyReader body(bytes);
  std::optional<Message> out;
  switch (kind) {
    case Kind::open: out = read_open(body); break;
    case Kind::welcome: out = read_welcome(body); break;
    case Kind::refusal: out = read_refusal(body); break;
    case Kind::renew: out = read_renew(body); break;
    case Kind::grant: out = read_grant(body); break;
    case Kind::snapshot_chunk: out = read_snapshot_chunk(body); break;
    case Kind::delta: out = read_delta(body); break;
    case Kind::resume: out = Resume{body.number(8)}; break;
    case Kind::close: out = Close{}; break;
    case Kind::forward: out = read_forward(body); break;
  }
  if (!body.finished()) return std::nullopt;
  return out;
}

}  // namespace

const char* name_of(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::other_version: return "other_version";
    case RefusalReason::other_cluster: return "other_cluster";
    case RefusalReason::other_terms: return "other_terms";
    case RefusalReason::full: return "full";
    case RefusalReason::busy: return "busy";
    case RefusalReason::node_behind: return "node_behind";
    case RefusalReason::leaving: return "leaving";
  }
  return "unknown";
}

std::string encode(const Message& message) {
  std::string body;
  const Kind kind = std::visit(Encoder{body}, message);
  std::string out;
  out.reserve(kHead + body.size());
  put32(out, static_cast<std::uint32_t>(body.size()));
  put8(out, static_cast<unsigned>(kind));
  out += body;
  return out;
}

bool MessageReader::take(std::string_view bytes, std::vector<Message>& out) {
  if (!sound_) return false;
  held_ += bytes;
  std::size_t at = 0;
  while (held_.size() - at >= kHead) {
    Reader head(std::string_view(held_).substr(at, kHead));
    const std::size_t size = head.number(4);
    const auto kind = static_cast<Kind>(head.number(1));
    sound_ = size <= longest_frame_ && kind >= Kind::open && kind <= Kind::forward;
    if (!sound_ || held_.size() - at - kHead < size) break;
    auto message = decode(kind, std::string_view(held_).substr(at + kHead, size));
    sound_ = message.has_value();
    if (!sound_) break;
    out.push_back(std::move(*message));
    at += kHead + size;
  }
  held_.erase(0, at);
  return sound_;
}

}  // namespace lotusyard::control
