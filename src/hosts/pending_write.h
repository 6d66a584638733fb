// What a connection has queued or sent, and which answers it expects.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/types.h"
#include "hosts/host_protocol.h"
#include "net/buffer.h"
#include "net/event_loop.h"

namespace lotusyard::hosts {

// Decided, but not written: it can still be withdrawn without a trace at the host.
struct PendingWrite {
  enum class Kind { attempt, load, unchecked };  // unchecked: neither a call nor a load, allowed at any time

  Kind kind = Kind::unchecked;
  std::string id;              // the ref of an attempt, the tag of a query; empty: it is not answered
  std::string message;         // encoded; empty for an attempt, whose timeout counts from the write
  AttemptRequest attempt;      // of an attempt
  Millis deadline{0};          // of an attempt
  std::uint64_t function = 0;  // of an attempt or a load
  int copies = 0;              // of a load; 0 loads nothing, and only asks
};

// Whether a message has been written, and how far it got.
class WriteProgress {
 public:
  // `end_offset`: the offset in the send queue behind the message's last byte.
  void set_written(std::uint64_t end_offset) { end_offset_ = end_offset; }
  bool is_written() const { return end_offset_.has_value(); }
  // True if the kernel has all bytes of it, so that the host may have read them.
  bool is_with_kernel(const net::SendQueue& queue) const {
    return end_offset_.has_value() && queue.written() >= *end_offset_;
  }

 private:
  std::optional<std::uint64_t> end_offset_;
};

struct InFlightAttempt {
  core::Attempt attempt;
  Millis sent_at{0};
  std::uint64_t function = 0;
  WriteProgress progress;
};

// A request other than an attempt that the host answers.
struct Query {
  // liveness: whether anything comes over this connection at all; readiness: whether the host takes new work
  enum class Kind { load, probe, liveness, readiness };

  Kind kind = Kind::load;
  std::uint64_t function = 0;
  int copies = 0;  // of a load
  Millis sent_at{0};
  net::EventLoop::TimerId timeout_timer{};
  WriteProgress progress;
};

}  // namespace lotusyard::hosts
