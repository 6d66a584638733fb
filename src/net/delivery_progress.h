// Follows whether a peer still reads what it was sent.
#pragma once

#include <cstdint>
#include <optional>

#include "net/event_loop.h"

namespace lotusyard::net {

// No I/O; the clock is passed in.
class DeliveryProgress {
 public:
  // A peer that reads slowly frees its receive buffer in steps; a pause of this length is no such step.
  static constexpr Millis kStallTimeout{2000};

  // `delivered`: all bytes that the peer has acknowledged so far. Returns true if there was no progress for
  // kStallTimeout, as far as earlier calls can tell.
  bool is_stalled(std::uint64_t delivered, Millis now) {
    if (!seen_ || seen_->delivered != delivered)
      seen_ = Seen{delivered, now};
    return now - seen_->since >= kStallTimeout;
  }

 private:
  struct Seen {
    std::uint64_t delivered = 0;
    Millis since{0};
  };

  std::optional<Seen> seen_;
};

}  // namespace lotusyard::net
