// The clock and timers of a raft core: the program's event loop, or virtual time in tests.
#pragma once

#include <functional>

#include "net/event_loop.h"

namespace lotusyard::raft {

// Not thread-safe. Callbacks run on the same thread, never from within at().
class Scheduler {
 public:
  using Millis = net::Millis;
  using TimerId = net::EventLoop::TimerId;
  virtual ~Scheduler() = default;

  // The current time in milliseconds.
  virtual Millis now() const = 0;
  // Calls `callback` once, at `when` or as soon as possible after it.
  virtual TimerId at(Millis when, std::function<void()> callback) = 0;
  // Does nothing if the timer has run or was cancelled.
  virtual void cancel(const TimerId& id) = 0;
};

// The scheduler of the program; the event loop must outlive it.
class LoopScheduler final : public Scheduler {
 public:
  explicit LoopScheduler(net::EventLoop& loop) : loop_(loop) {}
  Millis now() const override { return loop_.now(); }
  TimerId at(Millis when, std::function<void()> callback) override {
    return loop_.schedule_at(when, std::move(callback));
  }
  void cancel(const TimerId& id) override { loop_.cancel(id); }

 private:
  net::EventLoop& loop_;
};

}  // namespace lotusyard::raft
