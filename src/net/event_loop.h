// The event loop of the program: one thread, poll(2), timers and deferred deletion.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "lotusyard/policy/policy.h"
#include "metrics/counter.h"
#include "net/buffer.h"
#include "net/flush_queue.h"
#include "net/handler_registry.h"
#include "net/poll_backoff.h"
#include "net/socket.h"
#include "net/timer_queue.h"
#include "net/wall_clock.h"

namespace lotusyard::net {

using policy::Millis;

// An iteration calls the handlers of ready descriptors, fires due timers, runs the caller's decisions,
// flushes what was written and then deletes the objects given to delete_later(). Not thread-safe.
class EventLoop {
 public:
  using TimerId = net::TimerId;
  using Priority = HandlerPriority;

  explicit EventLoop(Clocks clocks = Clocks::system());
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Unix milliseconds: the wall clock at the start of the process, advanced by the steady clock.
  Millis now() const;

  // Compare times from outside with this: what the wall clock reads now, and what it would read by earlier
  // settings that may still be the right ones. A setting counts until the size of its step and `retention`
  // have passed.
  WallTime wall_time(Millis retention = Millis(0));

  // Whether the wall clock was set since the process started.
  bool wall_has_stepped();

  // Records a reading of the wall clock by an earlier process of this machine.
  void record_wall_time(Millis reading) { wall_.record_earlier_reading(clocks_.steady(), reading); }

  // When the poll(2) of this iteration returned. Everything that is read in the iteration had arrived by
  // then.
  Millis iteration_started() const { return iteration_started_; }

  // A lower bound of when the data arrived that is read in this iteration, if the previous iteration read all
  // that had arrived. Data may have waited during that iteration, or while the process was stopped.
  Millis earliest_arrival() const { return earliest_arrival_; }

  // The buffer that all connections read into. Its content must be used before the next read.
  BufferPool::Block& read_buffer() { return read_buffer_; }

  // Calls the handler's ready() for these events of the descriptor. Registering again changes the events and
  // the priority; with no events the descriptor is not polled.
  void register_handler(int fd, EventHandler& handler, short events, Priority priority = Priority::normal);

  // Must be called before the descriptor is closed and before the handler is destroyed.
  void unregister(int fd, EventHandler& handler);

  // Calls the handler's flush() once at the end of this iteration.
  void flush_later(EventHandler& handler) { flush_queue_.add(handler); }

  // Calls `callback` once, at `when` or as soon as possible after it.
  TimerId schedule_at(Millis when, std::function<void()> callback) {
    return timers_.schedule_at(when, std::move(callback));
  }
  // Does nothing if the timer has fired or was cancelled.
  void cancel(const TimerId& id) { timers_.cancel(id); }

  // Keeps an object until the end of the iteration, when no caller on the stack can be inside it any more.
  void delete_later(std::shared_ptr<void> ended) { deferred_deletions_.push_back(std::move(ended)); }

  // Sets the function that is called with the counter of each error of a system call.
  using ErrorCounter = std::function<void(const metrics::Counter& counter)>;
  void count_errors(ErrorCounter counter) { error_counter_ = std::move(counter); }
  void count_error(const metrics::Counter& counter) const {
    if (error_counter_)
      error_counter_(counter);
  }

  // Runs one iteration. Waits for events until `due` or the next timer at the latest. `decide` runs between
  // the timers and the flushes.
  void run_once(Millis due, const std::function<void()>& decide);

 private:
  Clocks clocks_;
  WallClock wall_;
  HandlerRegistry handlers_;
  TimerQueue timers_;
  FlushQueue flush_queue_;
  std::vector<std::shared_ptr<void>> deferred_deletions_;
  PollSet poll_set_;  // of the current iteration
  PollBackoff poll_backoff_;
  Millis iteration_started_;
  Millis earliest_arrival_;
  Millis urgent_served_{0};  // when urgent handlers were last polled
  BufferPool::Block read_buffer_;
  ErrorCounter error_counter_;

  void observe_wall() { wall_.observe(clocks_.steady(), clocks_.wall()); }
  Millis max_wait(Millis due) const;
  int wait_for_events(Millis wait);
  void record_wake_up(Millis wait_started, Millis longest_wait);
  int poll(PollSet& poll_set, Millis wait);
  void call_ready_handlers();
  void fire_due_timers();
  void serve_urgent();
  void serve_urgent_if_overdue();
};

// Counts the error, if any, of a call of connect_to() or accept_from().
void count_connect_error(const EventLoop& loop, const ConnectResult& result);
void count_accept_errors(const EventLoop& loop, const AcceptResult& result);

}  // namespace lotusyard::net
