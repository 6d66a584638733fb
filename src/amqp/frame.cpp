#include "amqp/frame.h"

#include <algorithm>
#include <utility>

#include "amqp/reader.h"
#include "amqp/writer.h"

namespace lotusyard::amqp {
namespace {

constexpr char kFrameEnd = static_cast<char>(0xCE);
constexpr std::size_t kFrameHeaderSize = 7;

bool is_known(FrameType type) {
  switch (type) {
    case FrameType::method:
    case FrameType::header:
    case FrameType::body:
    case FrameType::heartbeat:
      return true;
  }
  return false;
}

// Removes up to `size` bytes from the front of `bytes` and returns them.
std::string_view take_front(std::string_view& bytes, std::size_t size) {
  const std::string_view front = bytes.substr(0, size);
  bytes.remove_prefix(front.size());
  return front;
}

}  // namespace

bool FrameParser::parse(std::string_view bytes, std::vector<Frame>& frames) {
  while (!bytes.empty() && !malformed_) {
    if (!in_payload_) {
      parse_header(bytes);
      continue;
    }
    if (!parse_payload(bytes))
      break;
    if (!malformed_)
      frames.push_back(std::move(frame_));
  }
  return !malformed_;
}

void FrameParser::parse_header(std::string_view& bytes) {
  header_.append(take_front(bytes, kFrameHeaderSize - header_.size()));
  if (header_.size() < kFrameHeaderSize)
    return;
  Reader reader(header_);
  const auto type = static_cast<FrameType>(reader.u8());
  frame_ = Frame{type, reader.u16(), {}};
  remaining_payload_ = reader.u32();
  malformed_ = !is_known(type) || remaining_payload_ > max_payload_;
  in_payload_ = true;
  header_.clear();
}

bool FrameParser::parse_payload(std::string_view& bytes) {
  const std::string_view part = take_front(bytes, remaining_payload_);
  frame_.payload.append(part);
  remaining_payload_ -= part.size();
  if (remaining_payload_ > 0 || bytes.empty())
    return false;
  malformed_ = bytes.front() != kFrameEnd;
  bytes.remove_prefix(1);
  in_payload_ = false;
  return true;
}

std::string frame(FrameType type, std::uint16_t channel, std::string_view payload) {
  Writer header;
  header.u8(static_cast<std::uint8_t>(type)).u16(channel).u32(payload.size());
  std::string out = header.bytes();
  out += payload;
  out += kFrameEnd;
  return out;
}

}  // namespace lotusyard::amqp
