// Joins the header and body frames of a message into a delivery. No I/O.
#pragma once

#include <cstdint>
#include <optional>

#include "amqp/delivery.h"
#include "amqp/frame.h"
#include "amqp/protocol_error.h"

namespace lotusyard::amqp {

// What a frame of content has led to: an error, a complete delivery, or neither.
struct ContentResult {
  std::optional<ProtocolError> error;
  std::optional<Delivery> delivery;
};

class ContentAssembler {
 public:
  // A body of more than `max_body` bytes is skipped.
  explicit ContentAssembler(std::size_t max_body) : max_body_(max_body) {}

  // The content of a delivery follows.
  void begin_delivery(std::uint64_t tag, bool redelivered);
  // The content of a message that the broker returned follows; it is skipped.
  void begin_returned_message();
  // Whether content is incomplete; no method may arrive then.
  bool in_progress() const { return content_ != Content::none; }
  // Takes a header or body frame.
  ContentResult add(const Frame& frame);

 private:
  enum class Content { none, delivery, returned_message };

  void begin(Content content);
  std::optional<ProtocolError> add_header(const Frame& frame);
  std::optional<ProtocolError> add_body(const Frame& frame);
  std::optional<Delivery> finish();

  const std::size_t max_body_;
  Content content_ = Content::none;
  bool has_header_ = false;
  std::uint64_t remaining_body_ = 0;
  Delivery delivery_;
};

}  // namespace lotusyard::amqp
