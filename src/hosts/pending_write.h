// The requests that a connection has queued or sent, and the answers that it expects.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/types.h"
#include "hosts/host_protocol.h"
#include "net/buffer.h"
#include "net/event_loop.h"

namespace lotusyard::hosts {

// A queued request. It can still be withdrawn, as nothing of it has reached the host.
struct PendingWrite {
  enum class Kind { attempt, load, unchecked };  // unchecked: neither a call nor a load, allowed at any time

  Kind kind = Kind::unchecked;
  std::string id;              // the ref of an attempt, the tag of a query; empty: it is not answered
  std::string message;         // encoded; empty for an attempt, whose timeout counts from the write
  AttemptRequest attempt;      // of an attempt
  Millis deadline{0};          // of an attempt
  std::uint64_t function = 0;  // of an attempt or a load
  int copies = 0;              // of a load; 0: loads nothing, but is answered
};

// Whether a message has been written, and whether the kernel has all of it.
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

// A request that the host answers, other than an attempt.
struct Query {
  // liveness: checks that the connection works at all; readiness: asks whether the host takes new work
  enum class Kind { load, probe, liveness, readiness };

  Kind kind = Kind::load;
  std::uint64_t function = 0;
  int copies = 0;  // of a load
  Millis sent_at{0};
  net::EventLoop::TimerId timeout_timer{};
  WriteProgress progress;
};

}  // namespace lotusyard::hosts
