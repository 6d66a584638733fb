#include "net/event_loop.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <thread>

#include "metrics/system_call_counters.h"
#include "net/system_calls.h"

namespace lotusyard::net {
namespace {

// A process that was stopped during a wait notices it only because it wakes up later than the wait's end by
// more than kMaxWakeUpDelay. Short waits make it notice.
constexpr Millis kMaxWait{100};
constexpr Millis kMaxWakeUpDelay{20};

// A wait shorter than this counts as none: the data had arrived before.
constexpr Millis kMinWait{1};

// An urgent handler waits no longer than this, plus the work of one other handler.
constexpr Millis kUrgentInterval{20};

}  // namespace

EventLoop::EventLoop(Clocks clocks)
    : clocks_(std::move(clocks)),
      wall_(clocks_.steady(), clocks_.wall()),
      iteration_started_(now()),
      earliest_arrival_(iteration_started_) {}

EventLoop::~EventLoop() = default;

Millis EventLoop::now() const { return clocks_.steady() + wall_.start_offset(); }

WallTime EventLoop::wall_time(Millis retention) {
  observe_wall();
  return wall_.read(clocks_.steady(), retention);
}

bool EventLoop::wall_has_stepped() {
  observe_wall();
  return wall_.has_stepped();
}

void EventLoop::register_handler(int fd, EventHandler& handler, short events, Priority priority) {
  handlers_.register_handler(fd, handler, events, priority);
}

void EventLoop::unregister(int fd, EventHandler& handler) {
  handlers_.unregister(fd, handler);
  flush_queue_.remove(handler);
}

void EventLoop::run_once(Millis due, const std::function<void()>& decide) {
  const int ready = wait_for_events(max_wait(due));
  observe_wall();
  serve_urgent();
  if (ready > 0)
    call_ready_handlers();
  fire_due_timers();
  decide();
  serve_urgent_if_overdue();
  flush_queue_.flush_all();
  deferred_deletions_.clear();
}

Millis EventLoop::max_wait(Millis due) const {
  const Millis until = std::min(due, timers_.next_due().value_or(due));
  return std::min(std::max(until - now(), Millis(0)), kMaxWait);
}

// Returns the number of descriptors with events.
int EventLoop::wait_for_events(Millis wait) {
  poll_set_.clear();
  handlers_.append_all(poll_set_);
  const Millis wait_started = now();
  const Millis longest_wait(std::ceil(wait.count()));
  const int ready = poll(poll_set_, longest_wait);
  record_wake_up(wait_started, longest_wait);
  return ready;
}

void EventLoop::record_wake_up(Millis wait_started, Millis longest_wait) {
  const Millis woke_up = now();
  const Millis waited = woke_up - wait_started;
  const bool did_not_wait = longest_wait.count() <= 0 || waited < kMinWait;
  const bool woke_up_late = waited > longest_wait + kMaxWakeUpDelay;
  earliest_arrival_ = did_not_wait || woke_up_late ? iteration_started_ : woke_up;
  iteration_started_ = woke_up;
}

// Returns the number of descriptors with events; none if poll(2) fails.
int EventLoop::poll(PollSet& poll_set, Millis wait) {
  auto& descriptors = poll_set.descriptors;
  const int timeout_ms = static_cast<int>(std::ceil(wait.count()));
  const int ready = system_calls::poll(descriptors.data(), descriptors.size(), timeout_ms);
  if (ready >= 0) {
    poll_backoff_.on_success();
    return ready;
  }
  count_error(errno == EINTR ? metrics::kNetPollInterrupted : metrics::kNetPollFailed);
  const Millis pause = std::min(poll_backoff_.on_failure(), wait);
  if (pause > Millis(0))
    std::this_thread::sleep_for(pause);
  return 0;
}

void EventLoop::call_ready_handlers() {
  for (std::size_t i = 0; i < poll_set_.descriptors.size(); ++i) {
    const short events = poll_set_.descriptors[i].revents;
    if (events == 0)
      continue;
    if (handlers_.current(poll_set_, i).priority == Priority::urgent)
      continue;  // serve_urgent() has called it
    if (handlers_.is_unchanged(poll_set_, i))
      handlers_.current(poll_set_, i).handler->ready(events);
    serve_urgent_if_overdue();
  }
}

// Timers that become due meanwhile wait for the next iteration.
void EventLoop::fire_due_timers() {
  const Millis started = now();
  while (timers_.fire_next(started))
    serve_urgent_if_overdue();
}

void EventLoop::serve_urgent() {
  urgent_served_ = now();
  PollSet urgent;
  handlers_.append_urgent(urgent);
  if (urgent.descriptors.empty() || poll(urgent, Millis(0)) <= 0)
    return;
  for (std::size_t i = 0; i < urgent.descriptors.size(); ++i) {
    const short events = urgent.descriptors[i].revents;
    if (events != 0 && handlers_.is_unchanged(urgent, i))
      handlers_.current(urgent, i).handler->ready(events);
  }
}

// An iteration with many ready clients takes long.
void EventLoop::serve_urgent_if_overdue() {
  if (now() - urgent_served_ >= kUrgentInterval)
    serve_urgent();
}

void count_connect_error(const EventLoop& loop, const ConnectResult& result) {
  if (result.error)
    loop.count_error(counter_of(result.error->kind));
}

void count_accept_errors(const EventLoop& loop, const AcceptResult& result) {
  for (int i = 0; i < result.connections_lost; ++i)
    loop.count_error(metrics::kNetAcceptConnectionLost);
  if (result.status == AcceptStatus::out_of_resources)
    loop.count_error(metrics::kNetAcceptLocalResource);
}

}  // namespace lotusyard::net
