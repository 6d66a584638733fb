// Which handler is called for which descriptor, and for which events.
#pragma once

#include <poll.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lotusyard::net {

// Receives the events of a descriptor that it has registered.
class EventHandler {
 public:
  virtual ~EventHandler() = default;

  // The descriptor has events; `events` is the revents field of poll(2).
  virtual void ready(short events) = 0;

  // Called at the end of an iteration for which the handler asked through EventLoop::flush_later().
  virtual void flush() {}
};

// Urgent handlers are called first in an iteration, and again in between if the iteration takes long.
enum class HandlerPriority { normal, urgent };

// The input and output of one poll(2), with the registrations that it was made from.
struct PollSet {
  std::vector<pollfd> descriptors;
  std::vector<std::uint64_t> serials;  // of the registration of the descriptor at the same index

  void clear() {
    descriptors.clear();
    serials.clear();
  }
};

// Does not own descriptors or handlers: a handler unregisters before its descriptor is closed.
class HandlerRegistry {
 public:
  struct Registration {
    EventHandler* handler = nullptr;
    short events = 0;
    HandlerPriority priority = HandlerPriority::normal;
    std::uint64_t serial = 0;  // differs between two users of the same descriptor number
  };

  // Registering again changes the events and the priority. With no events the descriptor is not polled.
  void register_handler(int fd, EventHandler& handler, short events, HandlerPriority priority);

  // Does nothing if the descriptor is not registered, or was registered by another handler.
  void unregister(int fd, const EventHandler& handler);

  // Appends all polled descriptors, or only those of urgent handlers.
  void append_all(PollSet& poll_set) const;
  void append_urgent(PollSet& poll_set) const;

  // The registration of a descriptor that was polled, which may have been replaced or removed since then.
  const Registration& current(const PollSet& poll_set, std::size_t index) const {
    return by_descriptor_[static_cast<std::size_t>(poll_set.descriptors[index].fd)];
  }

  // Whether the registration is still the one that the descriptor was polled for.
  bool is_unchanged(const PollSet& poll_set, std::size_t index) const {
    const Registration& registration = current(poll_set, index);
    return registration.handler != nullptr && registration.serial == poll_set.serials[index];
  }

 private:
  std::vector<Registration> by_descriptor_;
  std::uint64_t last_serial_ = 0;

  static bool is_polled(const Registration& registration) {
    return registration.handler != nullptr && registration.events != 0;
  }
  void append(std::size_t fd, PollSet& poll_set) const;
};

}  // namespace lotusyard::net
