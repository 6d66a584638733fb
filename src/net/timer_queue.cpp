#include "net/timer_queue.h"

namespace lotusyard::net {

TimerId TimerQueue::schedule_at(Millis due, Callback callback) {
  const TimerId id{due.count(), ++last_serial_};
  timers_.emplace(id, std::move(callback));
  return id;
}

std::optional<Millis> TimerQueue::next_due() const {
  if (timers_.empty())
    return std::nullopt;
  return Millis(timers_.begin()->first.first);
}

bool TimerQueue::fire_next(Millis now) {
  const auto earliest = timers_.begin();
  if (earliest == timers_.end() || earliest->first.first > now.count())
    return false;
  const Callback callback = std::move(earliest->second);
  timers_.erase(earliest);
  callback();
  return true;
}

}  // namespace lotusyard::net
