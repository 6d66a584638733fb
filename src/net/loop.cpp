#include "net/loop.h"

#include <algorithm>
#include <cerrno>
#include <cmath>

namespace lotusyard::net {
namespace {

constexpr double kLongestWait = 1000;
constexpr Millis kUrgentPace{
    20};  // no turn keeps an urgent handler waiting for longer, save one handler's work

}  // namespace

Loop::Loop(Clocks clocks)
    : clocks_(std::move(clocks)), wall_(clocks_.steady(), clocks_.wall()), turn_began_(now()) {}
Loop::~Loop() = default;

Millis Loop::now() const { return clocks_.steady() + wall_.start_offset(); }

WallTime Loop::wall(Millis memory) {
  observe_wall();
  return wall_.read(clocks_.steady(), memory);
}

bool Loop::wall_has_stepped() {
  observe_wall();
  return wall_.has_stepped();
}

void Loop::watch(int fd, Handler& handler, short events, Rank rank) {
  const auto place = static_cast<std::size_t>(fd);
  if (place >= by_fd_.size()) by_fd_.resize(place + 1);
  Entry& entry = by_fd_[place];
  if (entry.handler != &handler) entry.serial = ++serial_;
  entry.handler = &handler;
  entry.events = events;
  entry.rank = rank;
}

void Loop::forget(int fd, Handler& handler) {
  const auto place = static_cast<std::size_t>(fd);
  if (fd >= 0 && place < by_fd_.size() && by_fd_[place].handler == &handler) by_fd_[place] = Entry();
  std::replace(unflushed_.begin(), unflushed_.end(), &handler, static_cast<Handler*>(nullptr));
}

void Loop::flush_later(Handler& handler) {
  if (std::find(unflushed_.begin(), unflushed_.end(), &handler) == unflushed_.end()) {
    unflushed_.push_back(&handler);
  }
}

Loop::TimerId Loop::at(Millis when, std::function<void()> ring) {
  const TimerId id{when.count(), ++serial_};
  timers_.emplace(id, std::move(ring));
  return id;
}

void Loop::flush() {
  // By index: a flush may queue more, and an ended handler leaves a gap.
  for (std::size_t i = 0; i < unflushed_.size(); ++i) {
    Handler* handler = std::exchange(unflushed_[i], nullptr);
    if (handler != nullptr) handler->flush();
  }
  unflushed_.clear();
}

// Danger: a crowd of clients makes a turn as long as there are of them.
void Loop::serve_urgent(bool at_once) {
  if (!at_once && now() - urgent_served_ < kUrgentPace) return;
  urgent_served_ = now();
  std::vector<pollfd> polled;
  std::vector<std::uint64_t> serials;
  for (std::size_t fd = 0; fd < by_fd_.size(); ++fd) {
    if (by_fd_[fd].handler == nullptr || by_fd_[fd].rank != Rank::urgent) continue;
    polled.push_back({static_cast<int>(fd), by_fd_[fd].events, 0});
    serials.push_back(by_fd_[fd].serial);
  }
  if (polled.empty() || ::poll(polled.data(), polled.size(), 0) <= 0) return;
  for (std::size_t i = 0; i < polled.size(); ++i) {
    const Entry& entry = by_fd_[static_cast<std::size_t>(polled[i].fd)];
    const bool same = entry.handler != nullptr && entry.serial == serials[i];
    if (polled[i].revents != 0 && same) entry.handler->ready(polled[i].revents);
  }
}

void Loop::turn(Millis due, const std::function<void()>& decide) {
  double until = due.count();
  if (!timers_.empty()) until = std::min(until, timers_.begin()->first.first);
  const double wait = std::min(std::max(until - now().count(), 0.0), kLongestWait);
  polled_.clear();
  serials_.clear();
  for (std::size_t fd = 0; fd < by_fd_.size(); ++fd) {
    if (by_fd_[fd].handler == nullptr) continue;
    polled_.push_back({static_cast<int>(fd), by_fd_[fd].events, 0});
    serials_.push_back(by_fd_[fd].serial);
  }
  const int found = ::poll(polled_.data(), polled_.size(), static_cast<int>(std::ceil(wait)));
  turn_began_ = now();
  observe_wall();
  serve_urgent(true);
  for (std::size_t i = 0; found > 0 && i < polled_.size(); ++i) {
    if (polled_[i].revents == 0) continue;
    const Entry& entry = by_fd_[static_cast<std::size_t>(polled_[i].fd)];
    if (entry.rank == Rank::urgent) continue;  // has had its turn
    if (entry.handler != nullptr && entry.serial == serials_[i]) entry.handler->ready(polled_[i].revents);
    serve_urgent(false);
  }
  const double turn_at = now().count();
  while (!timers_.empty() && timers_.begin()->first.first <= turn_at) {
    const auto ring = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    ring();
    serve_urgent(false);
  }
  decide();
  serve_urgent(false);
  flush();
  graves_.clear();
}

}  // namespace lotusyard::net
