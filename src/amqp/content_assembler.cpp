#include "amqp/content_assembler.h"

#include <utility>

namespace lotusyard::amqp {

void ContentAssembler::begin(Content content) {
  content_ = content;
  has_header_ = false;
  delivery_ = Delivery();
}

void ContentAssembler::begin_delivery(std::uint64_t tag, bool redelivered) {
  begin(Content::delivery);
  delivery_.tag = tag;
  delivery_.redelivered = redelivered;
}

void ContentAssembler::begin_returned_message() { begin(Content::returned_message); }

ContentResult ContentAssembler::add(const Frame& frame) {
  if (!in_progress())
    return {ProtocolError::unexpected_content, std::nullopt};
  const auto error = frame.type == FrameType::header ? add_header(frame) : add_body(frame);
  if (error)
    return {error, std::nullopt};
  if (remaining_body_ > 0)
    return {};
  return {std::nullopt, finish()};
}

std::optional<ProtocolError> ContentAssembler::add_header(const Frame& frame) {
  auto header = has_header_ ? std::nullopt : read_content_header(frame.payload);
  if (!header)
    return ProtocolError::malformed;
  has_header_ = true;
  remaining_body_ = header->first;
  delivery_.properties = std::move(header->second);
  delivery_.oversized = remaining_body_ > max_body_;
  return std::nullopt;
}

std::optional<ProtocolError> ContentAssembler::add_body(const Frame& frame) {
  if (!has_header_ || frame.payload.size() > remaining_body_)
    return ProtocolError::malformed;
  remaining_body_ -= frame.payload.size();
  if (!delivery_.oversized)
    delivery_.body += frame.payload;
  return std::nullopt;
}

std::optional<Delivery> ContentAssembler::finish() {
  const Content content = std::exchange(content_, Content::none);
  if (content != Content::delivery)
    return std::nullopt;
  return std::move(delivery_);
}

}  // namespace lotusyard::amqp
