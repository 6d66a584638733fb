// One-shot timers, ordered by their due time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "lotusyard/policy/policy.h"

namespace lotusyard::net {

using policy::Millis;

// Names one scheduled timer: when it is due, in milliseconds, and a serial number, so that timers that are
// due at the same time fire in the order of scheduling. A default-constructed id names none.
using TimerId = std::pair<double, std::uint64_t>;

// Has no clock of its own: the event loop passes in the time.
class TimerQueue {
 public:
  using Callback = std::function<void()>;

  TimerId schedule_at(Millis due, Callback callback);

  // Does nothing if the timer has fired or was cancelled.
  void cancel(const TimerId& id) { timers_.erase(id); }

  // The due time of the earliest timer; nothing if there is no timer.
  std::optional<Millis> next_due() const;

  // Fires the earliest timer if it is due at `now`. Returns whether one has fired. The timer is removed
  // before its callback runs, so a callback may schedule and cancel timers.
  bool fire_next(Millis now);

 private:
  std::map<TimerId, Callback> timers_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace lotusyard::net
