// A discrete-event queue with a virtual clock, and the drifting local clocks of simulated processes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

#include "lotusyard/policy/policy.h"

namespace lotusyard::test {

using lotusyard::policy::Millis;

// Events run in order of time; events of the same time in the order in which they were added.
class EventQueue {
 public:
  using Action = std::function<void()>;

  double now() const { return now_; }  // true time, milliseconds
  void at(double when, Action action) {
    events_.push_back({std::max(when, now_), ++order_, std::move(action)});
    std::push_heap(events_.begin(), events_.end(), later);
  }
  void run_until(double until) {
    while (!events_.empty() && events_.front().when <= until) {
      std::pop_heap(events_.begin(), events_.end(), later);
      Event next = std::move(events_.back());
      events_.pop_back();
      now_ = next.when;
      next.action();
    }
    now_ = std::max(now_, until);
  }

 private:
  struct Event {
    double when;
    std::uint64_t order;
    Action action;
  };
  static bool later(const Event& a, const Event& b) {
    return std::tie(a.when, a.order) > std::tie(b.when, b.order);
  }
  std::vector<Event> events_;
  std::uint64_t order_ = 0;
  double now_ = 0;
};

// A process's local clock, with an arbitrary offset from true time and a constant rate.
class DriftingClock {
 public:
  DriftingClock(double offset, double rate) : offset_(offset), rate_(rate) {}
  Millis local_time(double true_ms) const { return Millis(offset_ + true_ms * rate_); }
  double true_time(Millis local) const { return (local.count() - offset_) / rate_; }
  double true_duration(Millis local) const { return local.count() / rate_; }

 private:
  double offset_, rate_;
};

}  // namespace lotusyard::test
