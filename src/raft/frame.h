// Framing of the connections among the members of a group: each frame has a length and a kind. The parser is
// bounded and accepts only complete, well-formed frames. Each kind of frame has its own codec for the body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lotusyard::raft {

constexpr std::uint32_t kProtocolVersion = 2;
constexpr std::size_t kMaxFrameBytes = 4U << 20;

// A frame on the wire: the size of the body (32 bits), the kind (8 bits) and the body.
struct Frame {
  enum class Kind : std::uint8_t {
    hello = 1,      // the first frame of a connection, from the side that connects
    consensus = 2,  // a message of libraft, see message_codec.h
    message = 3,    // a message among replicas, see replica_message.h
    refusal = 4,    // the reason for which a hello was rejected
    received = 5,   // an acknowledgement that the connection delivers data
    gossip = 6      // a message of the gossip service
  };
  Kind kind = Kind::hello;
  std::string body;
};

std::string encode_frame(Frame::Kind kind, std::string_view body);

// Splits a stream of bytes into frames.
class FrameParser {
 public:
  // Appends the frames that are complete. Returns false if the stream is malformed; it must not be used after
  // that.
  bool parse(std::string_view bytes, std::vector<Frame>& out);

 private:
  std::string buffered_;
};

// The body of the first frame of every connection. A member with another group, protocol version or other
// terms is rejected, and so is one whose hello names another member as the receiver.
struct Hello {
  std::uint32_t version = kProtocolVersion;
  std::string cluster;     // the name of the group
  std::string member;      // the name of the sender
  std::uint64_t from = 0;  // the id of the sender; 0: not assigned yet
  std::uint64_t to = 0;    // the id of the receiver; 0: not known
  // The sender's LeaseTerms, which must be the same at all members. Times are in milliseconds.
  double lease = 0;
  double drift = 0;
  double last_call = 0;
};

std::string encode_hello(const Hello& hello);
// Returns nothing if the body is malformed.
std::optional<Hello> decode_hello(const std::string& body);

}  // namespace lotusyard::raft
