// One poll(2) loop: reads all that is readable, rings timers, then writes what the turn has queued.
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "lotusyard/policy/policy.h"
#include "metrics/counter.h"
#include "net/buffer.h"
#include "net/socket.h"
#include "net/wall_clock.h"

namespace lotusyard::net {

using policy::Millis;

class EventHandler {
 public:
  virtual ~EventHandler() = default;
  virtual void ready(short events) = 0;
  virtual void flush() {}
};

class EventLoop {
 public:
  using TimerId = std::pair<double, std::uint64_t>;
  explicit EventLoop(Clocks clocks = Clocks::system());
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Unix milliseconds, from the system's clock at the start and steady from there on.
  Millis now() const;
  // What times from outside are compared with: what the system's clock reads now, and what it read by
  // settings that were in force not longer ago than the size of their step and `memory`.
  WallTime wall_time(Millis memory = Millis(0));
  bool wall_has_stepped();
  // An earlier process of this machine has read that.
  void record_wall_time(Millis read) { wall_.remember(clocks_.steady(), read); }
  // When this turn's poll(2) returned: what is read in the turn had come by then.
  Millis iteration_started() const { return iteration_started_; }
  // No later than what is read in this turn came, if all that had come was read in the turn before: it may
  // have stood there through that turn, or while the process was stopped.
  Millis earliest_arrival() const { return earliest_arrival_; }
  // The one buffer that is read into; what was read is used up before the next read.
  BufferPool::Block& read_buffer() { return read_buffer_; }

  // Whoever must be heard whatever the load is watched as urgent: such are served first in a turn, and again
  // in between as often as the rest of the turn takes long.
  enum class Priority { normal, urgent };
  // Again: changes the events. With no events the descriptor is not polled at all until it is watched again.
  void register_handler(int fd, EventHandler& handler, short events, Priority priority = Priority::normal);
  void unregister(int fd, EventHandler& handler);  // before the descriptor is closed
  void flush_later(EventHandler& handler);         // at the end of this turn

  TimerId schedule_at(Millis when, std::function<void()> callback);
  void cancel(const TimerId& id) { timers_.erase(id); }

  // Keeps an ended object until no call on the stack can still be inside it.
  void delete_later(std::shared_ptr<void> ended) { deferred_deletions_.push_back(std::move(ended)); }

  // Called with the counter of each error of a system call, where set.
  using ErrorCounter = std::function<void(const metrics::Counter& counter)>;
  void count_errors(ErrorCounter counter) { error_counter_ = std::move(counter); }
  void count_error(const metrics::Counter& counter) const {
    if (error_counter_)
      error_counter_(counter);
  }

  // One turn; waits for at most as long as `due` and the timers allow. `decide` runs between reads and
  // writes.
  void run_once(Millis due, const std::function<void()>& decide);

 private:
  struct Registration {
    EventHandler* handler = nullptr;
    short events = 0;
    Priority priority = Priority::normal;
    std::uint64_t serial = 0;  // tells a descriptor's user from the next one's
  };
  std::vector<Registration> by_fd_;
  std::vector<pollfd> polled_;
  std::vector<std::uint64_t> serials_;
  std::vector<EventHandler*> unflushed_;
  std::map<TimerId, std::function<void()>> timers_;
  std::vector<std::shared_ptr<void>> deferred_deletions_;
  std::uint64_t serial_ = 0;
  Clocks clocks_;
  WallClock wall_;
  Millis iteration_started_{0}, earliest_arrival_{0}, urgent_served_{0};
  BufferPool::Block read_buffer_;
  ErrorCounter error_counter_;
  int failed_polls_ = 0;  // on end

  void observe_wall() { wall_.observe(clocks_.steady(), clocks_.wall()); }
  int poll(std::vector<pollfd>& polled, double wait_ms);
  void flush();
  void serve_urgent(bool at_once);
};

// CertificateState what went wrong in a call of connect_to or accept_from.
void count_connect_error(const EventLoop& loop, const ConnectResult& result);
void count_accept_errors(const EventLoop& loop, const AcceptResult& result);

}  // namespace lotusyard::net
