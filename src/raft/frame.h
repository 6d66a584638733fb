// What goes over the links among the members of a group: frames with a length and a kind. The reader is
// bounded and takes nothing that is not whole and sound. What a frame carries is worded elsewhere, kind by
// kind.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lotusyard::raft {

constexpr std::uint32_t protocol_version = 2;
constexpr std::size_t max_frame_bytes = 4U << 20;

struct Frame {
  enum class Kind : std::uint8_t {
    hello = 1,
    consensus = 2,
    message = 3,
    refusal = 4,
    received = 5,
    gossip = 6
  };
  Kind kind = Kind::hello;
  std::string body;
};
std::string encode_frame(Frame::Kind kind, std::string_view body);

class FrameParser {
 public:
  // Appends what is whole. False: malformed, and so is all that follows.
  bool take(std::string_view bytes, std::vector<Frame>& out);

 private:
  std::string held_;
};

// The first frame of every link. A member of another group, version or address is turned away.
struct Hello {
  std::uint32_t version = protocol_version;
  std::string cluster, member;
  std::uint64_t from = 0, to = 0;  // ids; 0: not known yet
  double lease = 0, drift = 0, last_call = 0;
};
std::string encode_hello(const Hello& hello);
std::optional<Hello> decode_hello(const std::string& body);

}  // namespace lotusyard::raft
