// Frames of AMQP 0-9-1: a header of seven bytes, the payload and an end octet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lotusyard::amqp {

// The values are those of the specification.
enum class FrameType : std::uint8_t { method = 1, header = 2, body = 3, heartbeat = 8 };

struct Frame {
  FrameType type = FrameType::heartbeat;
  std::uint16_t channel = 0;
  std::string payload;
};

// The bytes of a frame besides its payload.
inline constexpr std::size_t kFrameOverhead = 8;
// The largest frame, in bytes, that is accepted before and after the broker has named its own maximum.
inline constexpr std::size_t kMaxFrameSize = 128 * 1024;

// Splits a byte stream, which may arrive in pieces of any size, into frames.
class FrameParser {
 public:
  // Consumes all bytes and appends the complete frames to `frames`. Returns false once the stream is
  // malformed; it stays so, and nothing more is parsed.
  bool parse(std::string_view bytes, std::vector<Frame>& frames);
  // A frame with a larger payload makes the stream malformed.
  void set_max_payload(std::size_t bytes) { max_payload_ = bytes; }

 private:
  void parse_header(std::string_view& bytes);
  // Returns false if the frame is not complete yet.
  bool parse_payload(std::string_view& bytes);

  std::size_t max_payload_ = kMaxFrameSize;
  std::string header_;  // the part that has arrived
  Frame frame_;
  std::size_t remaining_payload_ = 0;
  bool in_payload_ = false;
  bool malformed_ = false;
};

// Serializes a frame.
std::string frame(FrameType type, std::uint16_t channel, std::string_view payload);

}  // namespace lotusyard::amqp
