#include "net/flush_queue.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace lotusyard::net {

void FlushQueue::add(EventHandler& handler) {
  if (std::find(queued_.begin(), queued_.end(), &handler) == queued_.end())
    queued_.push_back(&handler);
}

void FlushQueue::remove(const EventHandler& handler) {
  const auto is_handler = [&handler](const EventHandler* queued) { return queued == &handler; };
  std::replace_if(queued_.begin(), queued_.end(), is_handler, static_cast<EventHandler*>(nullptr));
}

void FlushQueue::flush_all() {
  std::size_t next = 0;  // an index, because a flush may add handlers and remove others
  while (next < queued_.size()) {
    EventHandler* const handler = std::exchange(queued_[next], nullptr);
    ++next;
    if (handler != nullptr)
      handler->flush();
  }
  queued_.clear();
}

}  // namespace lotusyard::net
