// The handlers that are flushed at the end of an iteration.
#pragma once

#include <vector>

#include "net/handler_registry.h"

namespace lotusyard::net {

// Does not own the handlers: a handler that ends removes itself.
class FlushQueue {
 public:
  // Does nothing if the handler is queued already.
  void add(EventHandler& handler);
  void remove(const EventHandler& handler);

  // Flushes the handlers in the order in which they were added, also those that are added meanwhile.
  void flush_all();

 private:
  std::vector<EventHandler*> queued_;  // null: flushed or removed
};

}  // namespace lotusyard::net
