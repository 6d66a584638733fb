#include "net/event_loop.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <thread>

#include "metrics/system_call_counters.h"
#include "net/system_calls.h"

namespace lotusyard::net {
namespace {

// A wait from which the process wakes late by more than kWokeLate was cut by a stop of it, which is noticed
// only past the wait's end: so no wait is long.
constexpr double kLongestWait = 100;
constexpr Millis kWokeLate{20};
constexpr Millis kNoWait{1};  // what had come by then was not waited for
constexpr Millis kUrgentPace{
    20};  // no turn keeps an urgent handler waiting for longer, save one handler's work

constexpr int kFreePollFailures = 2;  // one signal or two cost no pause
constexpr double kFailedPollPauseMs = 1;
constexpr double kFailedPollPauseMostMs = 10;

}  // namespace

EventLoop::EventLoop(Clocks clocks)
    : clocks_(std::move(clocks)),
      wall_(clocks_.steady(), clocks_.wall()),
      iteration_started_(now()),
      earliest_arrival_(iteration_started_) {}
EventLoop::~EventLoop() = default;

Millis EventLoop::now() const { return clocks_.steady() + wall_.start_offset(); }

WallTime EventLoop::wall_time(Millis memory) {
  observe_wall();
  return wall_.read(clocks_.steady(), memory);
}

bool EventLoop::wall_has_stepped() {
  observe_wall();
  return wall_.has_stepped();
}

void EventLoop::register_handler(int fd, EventHandler& handler, short events, Priority priority) {
  const auto place = static_cast<std::size_t>(fd);
  if (place >= by_fd_.size())
    by_fd_.resize(place + 1);
  Registration& entry = by_fd_[place];
  if (entry.handler != &handler)
    entry.serial = ++serial_;
  entry.handler = &handler;
  entry.events = events;
  entry.priority = priority;
}

void EventLoop::unregister(int fd, EventHandler& handler) {
  const auto place = static_cast<std::size_t>(fd);
  if (fd >= 0 && place < by_fd_.size() && by_fd_[place].handler == &handler)
    by_fd_[place] = Registration();
  std::replace(unflushed_.begin(), unflushed_.end(), &handler, static_cast<EventHandler*>(nullptr));
}

void EventLoop::flush_later(EventHandler& handler) {
  if (std::find(unflushed_.begin(), unflushed_.end(), &handler) == unflushed_.end()) {
    unflushed_.push_back(&handler);
  }
}

EventLoop::TimerId EventLoop::schedule_at(Millis when, std::function<void()> callback) {
  const TimerId id{when.count(), ++serial_};
  timers_.emplace(id, std::move(callback));
  return id;
}

void EventLoop::flush() {
  // By index: a flush may queue more, and an ended handler leaves a gap.
  for (std::size_t i = 0; i < unflushed_.size(); ++i) {
    EventHandler* handler = std::exchange(unflushed_[i], nullptr);
    if (handler != nullptr)
      handler->flush();
  }
  unflushed_.clear();
}

// A poll(2) that fails tells of no descriptor. Failing time after time, it must not keep the processor busy.
int EventLoop::poll(std::vector<pollfd>& polled, double wait_ms) {
  const int found = system_calls::poll(polled.data(), polled.size(), static_cast<int>(std::ceil(wait_ms)));
  if (found >= 0) {
    failed_polls_ = 0;
    return found;
  }
  count_error(errno == EINTR ? metrics::kNetPollInterrupted : metrics::kNetPollFailed);
  if (++failed_polls_ <= kFreePollFailures)
    return 0;
  const double pause =
      std::min(kFailedPollPauseMs * (failed_polls_ - kFreePollFailures), kFailedPollPauseMostMs);
  std::this_thread::sleep_for(Millis(std::min(pause, wait_ms)));
  return 0;
}

// A crowd of clients makes a turn as long as there are of them.
void EventLoop::serve_urgent(bool at_once) {
  if (!at_once && now() - urgent_served_ < kUrgentPace)
    return;
  urgent_served_ = now();
  std::vector<pollfd> polled;
  std::vector<std::uint64_t> serials;
  for (std::size_t fd = 0; fd < by_fd_.size(); ++fd) {
    const Registration& entry = by_fd_[fd];
    if (entry.handler == nullptr || entry.events == 0 || entry.priority != Priority::urgent)
      continue;
    polled.push_back({static_cast<int>(fd), by_fd_[fd].events, 0});
    serials.push_back(by_fd_[fd].serial);
  }
  if (polled.empty() || poll(polled, 0) <= 0)
    return;
  for (std::size_t i = 0; i < polled.size(); ++i) {
    const Registration& entry = by_fd_[static_cast<std::size_t>(polled[i].fd)];
    const bool same = entry.handler != nullptr && entry.serial == serials[i];
    if (polled[i].revents != 0 && same)
      entry.handler->ready(polled[i].revents);
  }
}

void EventLoop::run_once(Millis due, const std::function<void()>& decide) {
  double until = due.count();
  if (!timers_.empty())
    until = std::min(until, timers_.begin()->first.first);
  const double wait = std::min(std::max(until - now().count(), 0.0), kLongestWait);
  polled_.clear();
  serials_.clear();
  for (std::size_t fd = 0; fd < by_fd_.size(); ++fd) {
    if (by_fd_[fd].handler == nullptr || by_fd_[fd].events == 0)
      continue;
    polled_.push_back({static_cast<int>(fd), by_fd_[fd].events, 0});
    serials_.push_back(by_fd_[fd].serial);
  }
  const Millis asked = now(), longest(std::ceil(wait));
  const int found = poll(polled_, longest.count());
  const Millis woke = now();
  const bool did_not_wait = longest.count() <= 0 || woke - asked < kNoWait;
  const bool woke_late = woke - asked > longest + kWokeLate;
  earliest_arrival_ = did_not_wait || woke_late ? iteration_started_ : woke;
  iteration_started_ = woke;
  observe_wall();
  serve_urgent(true);
  for (std::size_t i = 0; found > 0 && i < polled_.size(); ++i) {
    if (polled_[i].revents == 0)
      continue;
    const Registration& entry = by_fd_[static_cast<std::size_t>(polled_[i].fd)];
    if (entry.priority == Priority::urgent)
      continue;  // has had its turn
    if (entry.handler != nullptr && entry.serial == serials_[i])
      entry.handler->ready(polled_[i].revents);
    serve_urgent(false);
  }
  const double turn_at = now().count();
  while (!timers_.empty() && timers_.begin()->first.first <= turn_at) {
    const auto callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    callback();
    serve_urgent(false);
  }
  decide();
  serve_urgent(false);
  flush();
  deferred_deletions_.clear();
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
