// What goes over the links among the members of a group: frames with a length and a kind, and the consensus
// messages' own wording. The reader is bounded and takes nothing that is not whole and sound.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "group/raft_c.h"

namespace lotusyard::group {

constexpr std::uint32_t protocol_version = 1;
constexpr std::size_t longest_frame = 4U << 20;

struct Frame {
  enum class Kind : std::uint8_t { hello = 1, consensus = 2, word = 3, refusal = 4, heard = 5 };
  Kind kind = Kind::hello;
  std::string body;
};
std::string framed(Frame::Kind kind, std::string_view body);

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
std::string worded(const Hello& hello);
std::optional<Hello> read_hello(const std::string& body);

std::string worded(const raft_message& message);
// What it points to is made with raft_malloc; whoever gets it hands it to the library or gives it back.
std::optional<raft_message> read_message(const std::string& body);
void give_back(raft_message& message);

}  // namespace lotusyard::group
