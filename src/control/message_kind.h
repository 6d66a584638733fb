// The kinds of messages on the wire, and the units in which their fields travel.
#pragma once

#include <cstdint>

namespace lotusyard::control {

constexpr std::size_t frame_head = 5;           // length and kind
constexpr double duration_units = 1000;         // of a millisecond
constexpr std::uint64_t drift_units = 1000000;  // of 1
constexpr double share_units = 1e15;            // of 1

// The kinds on the wire; each stands for one alternative of `Message`.
enum class MessageKind : std::uint8_t {
  open = 1,
  welcome,
  refusal,
  renew,
  grant,
  snapshot_chunk,
  delta,
  resume,
  close,
  forward
};

}  // namespace lotusyard::control
