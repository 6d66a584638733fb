#include "raft/frame.h"

#include <nlohmann/json.hpp>

#include "raft/bytes.h"

namespace lotusyard::raft {
namespace {

constexpr std::size_t kHead = 5;
constexpr auto last_kind = static_cast<std::uint64_t>(Frame::Kind::gossip);

}  // namespace

std::string encode_frame(Frame::Kind kind, std::string_view body) {
  std::string out;
  put32(out, static_cast<std::uint32_t>(body.size()));
  put8(out, static_cast<unsigned>(kind));
  out += body;
  return out;
}

bool FrameParser::take(std::string_view bytes, std::vector<Frame>& out) {
  held_ += bytes;
  std::size_t at = 0;
  bool sound = true;
  while (sound && held_.size() - at >= kHead) {
    Reader head(std::string_view(held_).substr(at, kHead));
    const std::size_t size = head.number(4);
    const auto kind = head.number(1);
    sound = size <= max_frame_bytes && kind >= 1 && kind <= last_kind;
    if (!sound || held_.size() - at - kHead < size) break;
    out.push_back({static_cast<Frame::Kind>(kind), held_.substr(at + kHead, size)});
    at += kHead + size;
  }
  held_.erase(0, at);
  return sound;
}

std::string encode_hello(const Hello& h) {
  return nlohmann::json{
      {"version", h.version}, {"cluster", h.cluster}, {"member", h.member}, {"from", h.from},
      {"to", h.to},           {"lease", h.lease},     {"drift", h.drift},   {"last_call", h.last_call}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Hello> decode_hello(const std::string& body) {
  const auto from = nlohmann::json::parse(body, nullptr, false);
  if (!from.is_object()) return std::nullopt;
  try {
    Hello out;
    from.at("version").get_to(out.version);
    from.at("cluster").get_to(out.cluster);
    from.at("member").get_to(out.member);
    from.at("from").get_to(out.from);
    from.at("to").get_to(out.to);
    from.at("lease").get_to(out.lease);
    from.at("drift").get_to(out.drift);
    from.at("last_call").get_to(out.last_call);
    if (out.member.empty() || out.member.size() > 128) return std::nullopt;
    return out;
  } catch (const nlohmann::json::exception&) { return std::nullopt; }
}

}  // namespace lotusyard::raft
