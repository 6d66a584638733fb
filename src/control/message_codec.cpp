#include "control/message_codec.h"

#include <optional>
#include <utility>

#include "control/field_codec.h"
#include "control/message_body.h"

namespace lotusyard::control {
namespace {

constexpr std::size_t kHeaderBytes = 5;

}  // namespace

std::string encode(const Message& message) {
  const std::string body = encode_body(message);
  std::string frame;
  frame.reserve(kHeaderBytes + body.size());
  FieldWriter header(frame);
  header.u32(static_cast<std::uint32_t>(body.size()));
  header.u8(static_cast<unsigned>(kind_of(message)));
  frame += body;
  return frame;
}

struct MessageReader::FrameHeader {
  std::size_t body_size = 0;
  MessageKind kind = MessageKind::open;

  explicit FrameHeader(std::string_view bytes) {
    FieldReader in(bytes);
    body_size = in.u32();
    kind = static_cast<MessageKind>(in.u8());
  }
};

bool MessageReader::is_valid(const FrameHeader& header) const {
  const bool is_known_kind = header.kind >= MessageKind::open && header.kind <= MessageKind::forward;
  return header.body_size <= max_frame_bytes_ && is_known_kind;
}

bool MessageReader::parse(std::string_view bytes, std::vector<Message>& out) {
  if (!sound_)
    return false;
  buffered_ += bytes;
  std::string_view rest = buffered_;
  while (rest.size() >= kHeaderBytes) {
    const FrameHeader header(rest.substr(0, kHeaderBytes));
    sound_ = is_valid(header);
    if (!sound_ || rest.size() - kHeaderBytes < header.body_size)
      break;
    auto message = decode_body(header.kind, rest.substr(kHeaderBytes, header.body_size));
    sound_ = message.has_value();
    if (!sound_)
      break;
    out.push_back(std::move(*message));
    rest.remove_prefix(kHeaderBytes + header.body_size);
  }
  buffered_.erase(0, buffered_.size() - rest.size());
  return sound_;
}

}  // namespace lotusyard::control
