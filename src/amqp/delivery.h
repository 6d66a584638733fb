// A message that the broker delivers to this consumer.
#pragma once

#include <cstdint>
#include <string>

#include "amqp/content_header.h"

namespace lotusyard::amqp {

struct Delivery {
  std::uint64_t tag = 0;     // identifies it on its channel until it is acknowledged
  bool redelivered = false;  // it may have been delivered before, to any consumer
  bool oversized = false;    // the body was too large, and was skipped
  Properties properties;
  std::string body;
};

}  // namespace lotusyard::amqp
