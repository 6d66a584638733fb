#include "raft/frame.h"

#include <nlohmann/json.hpp>

#include "raft/bytes.h"

namespace lotusyard::raft {
namespace {

constexpr std::size_t kHeaderBytes = 5;
constexpr std::size_t kMaxMemberNameBytes = 128;
constexpr auto kFirstKind = static_cast<std::uint64_t>(Frame::Kind::hello);
constexpr auto kLastKind = static_cast<std::uint64_t>(Frame::Kind::gossip);

}  // namespace

std::string encode_frame(Frame::Kind kind, std::string_view body) {
  std::string out;
  put32(out, static_cast<std::uint32_t>(body.size()));
  put8(out, static_cast<unsigned>(kind));
  out += body;
  return out;
}

bool FrameParser::parse(std::string_view bytes, std::vector<Frame>& out) {
  buffered_ += bytes;
  std::size_t position = 0;
  bool valid = true;
  while (valid && buffered_.size() - position >= kHeaderBytes) {
    Reader header(std::string_view(buffered_).substr(position, kHeaderBytes));
    const std::size_t size = header.number(4);
    const auto kind = header.number(1);
    const bool known_kind = kind >= kFirstKind && kind <= kLastKind;
    valid = known_kind && size <= kMaxFrameBytes;
    const bool complete = buffered_.size() - position - kHeaderBytes >= size;
    if (!valid || !complete) {
      break;
    }
    out.push_back({static_cast<Frame::Kind>(kind), buffered_.substr(position + kHeaderBytes, size)});
    position += kHeaderBytes + size;
  }
  buffered_.erase(0, position);
  return valid;
}

std::string encode_hello(const Hello& hello) {
  const nlohmann::json out = {{"version", hello.version}, {"cluster", hello.cluster},
                              {"member", hello.member},   {"from", hello.from},
                              {"to", hello.to},           {"lease", hello.lease},
                              {"drift", hello.drift},     {"last_call", hello.last_call}};
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Hello> decode_hello(const std::string& body) {
  const auto document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return std::nullopt;
  }
  try {
    Hello out;
    document.at("version").get_to(out.version);
    document.at("cluster").get_to(out.cluster);
    document.at("member").get_to(out.member);
    document.at("from").get_to(out.from);
    document.at("to").get_to(out.to);
    document.at("lease").get_to(out.lease);
    document.at("drift").get_to(out.drift);
    document.at("last_call").get_to(out.last_call);
    if (out.member.empty() || out.member.size() > kMaxMemberNameBytes) {
      return std::nullopt;
    }
    return out;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace lotusyard::raft
