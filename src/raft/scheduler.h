// The clock and the timers that a replica runs by: the program's loop, or a test's virtual time.
#pragma once

#include <functional>

#include "net/event_loop.h"

namespace lotusyard::raft {

class Scheduler {
 public:
  using Millis = net::Millis;
  using TimerId = net::EventLoop::TimerId;
  virtual ~Scheduler() = default;
  virtual Millis now() const = 0;
  virtual TimerId at(Millis when, std::function<void()> ring) = 0;
  virtual void cancel(const TimerId& id) = 0;
};

class LoopScheduler final : public Scheduler {
 public:
  explicit LoopScheduler(net::EventLoop& loop) : loop_(loop) {}
  Millis now() const override { return loop_.now(); }
  TimerId at(Millis when, std::function<void()> ring) override {
    return loop_.schedule_at(when, std::move(ring));
  }
  void cancel(const TimerId& id) override { loop_.cancel(id); }

 private:
  net::EventLoop& loop_;
};

}  // namespace lotusyard::raft
