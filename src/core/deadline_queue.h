// The deadlines of calls and of attempts, in the order in which they expire.
#pragma once

#include <functional>
#include <limits>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

#include "core/attempt.h"
#include "core/call.h"

namespace lotusyard::core {

struct Deadline {
  Millis expires_at{0};
  CallId call = 0;
  std::optional<int> attempt_number;  // none: of the call itself
  bool operator>(const Deadline& other) const {
    return std::tie(expires_at, call, attempt_number) >
           std::tie(other.expires_at, other.call, other.attempt_number);
  }
};

// Deadlines are not removed when their call or attempt ends; the caller of pop_expired() checks whether it is
// still open.
class DeadlineQueue {
 public:
  void add_call(CallId call, Millis expires_at) { deadlines_.push({expires_at, call, std::nullopt}); }
  void add_attempt(const Attempt& attempt, Millis expires_at) {
    deadlines_.push({expires_at, attempt.call, attempt.number});
  }

  // Removes and returns the first deadline that has expired, if any.
  std::optional<Deadline> pop_expired(Millis now) {
    if (deadlines_.empty() || deadlines_.top().expires_at > now)
      return std::nullopt;
    const Deadline expired = deadlines_.top();
    deadlines_.pop();
    return expired;
  }

  // When the next deadline expires; infinite if there is none.
  Millis next() const {
    if (deadlines_.empty())
      return Millis(std::numeric_limits<double>::infinity());
    return deadlines_.top().expires_at;
  }

 private:
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
};

}  // namespace lotusyard::core
