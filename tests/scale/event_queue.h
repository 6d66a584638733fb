// A virtual clock with the events that are due on it, and the drifting clocks that processes read.
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

// Events run in the order of their times; those of one time in the order in which they were added.
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

// A process's own clock: it starts anywhere, and runs faster than true time by a constant rate.
class DriftingClock {
 public:
  DriftingClock(double offset, double rate) : offset_(offset), rate_(rate) {}
  Millis local(double truth) const { return Millis(offset_ + truth * rate_); }
  double truth(Millis local) const { return (local.count() - offset_) / rate_; }
  double true_span(Millis span) const { return span.count() / rate_; }

 private:
  double offset_, rate_;
};

}  // namespace lotusyard::test
