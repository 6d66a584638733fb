// Timers on a virtual clock that only run_next() advances.
#pragma once

#include <algorithm>
#include <functional>
#include <map>

#include "raft/scheduler.h"

namespace lotusyard::test {

class VirtualScheduler final : public raft::Scheduler {
 public:
  using Millis = raft::Scheduler::Millis;
  Millis now() const override { return now_; }
  TimerId at(Millis when, std::function<void()> callback) override {
    const TimerId id{std::max(when, now_).count(), ++last_serial_};
    timers_[id] = std::move(callback);
    return id;
  }
  void cancel(const TimerId& id) override { timers_.erase(id); }
  bool run_next(Millis until) {
    const auto next = timers_.begin();
    if (next == timers_.end() || next->first.first > until.count()) {
      now_ = until;
      return false;
    }
    now_ = Millis(next->first.first);
    const auto callback = std::move(next->second);
    timers_.erase(next);
    callback();
    return true;
  }

 private:
  Millis now_{1000};
  std::uint64_t last_serial_ = 0;
  std::map<TimerId, std::function<void()>> timers_;
};

}  // namespace lotusyard::test
