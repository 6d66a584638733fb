// Binary serialization of the messages of sessions. Every message is one frame: the size of the body
// (32 bits), the kind (8 bits) and the body.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "control/message.h"

namespace lotusyard::control {

// Bounds of one frame's body, by direction. A snapshot chunk or a delta is larger than what invokers send.
constexpr std::size_t kMaxFrameBytesToNode = 300U << 10;
constexpr std::size_t kMaxFrameBytesToInvoker = 600U << 10;

// The message as one frame.
std::string encode(const Message& message);

// Splits a stream of bytes into messages. It buffers at most one frame.
class MessageReader {
 public:
  explicit MessageReader(std::size_t max_frame_bytes) : max_frame_bytes_(max_frame_bytes) {}
  // Appends the messages that are complete. Returns false if the stream is malformed, or has a frame that is
  // too long; from then on it reads nothing more.
  bool parse(std::string_view bytes, std::vector<Message>& out);

 private:
  struct FrameHeader;

  std::size_t max_frame_bytes_;
  std::string buffered_;
  bool sound_ = true;

  bool is_valid(const FrameHeader& header) const;
};

}  // namespace lotusyard::control
