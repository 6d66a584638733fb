#include "net/handler_registry.h"

namespace lotusyard::net {

void HandlerRegistry::register_handler(int fd, EventHandler& handler, short events,
                                       HandlerPriority priority) {
  const auto index = static_cast<std::size_t>(fd);
  if (index >= by_descriptor_.size())
    by_descriptor_.resize(index + 1);
  Registration& registration = by_descriptor_[index];
  if (registration.handler != &handler)
    registration.serial = ++last_serial_;
  registration.handler = &handler;
  registration.events = events;
  registration.priority = priority;
}

void HandlerRegistry::unregister(int fd, const EventHandler& handler) {
  const auto index = static_cast<std::size_t>(fd);
  if (fd < 0 || index >= by_descriptor_.size())
    return;
  if (by_descriptor_[index].handler == &handler)
    by_descriptor_[index] = Registration();
}

void HandlerRegistry::append(std::size_t fd, PollSet& poll_set) const {
  const Registration& registration = by_descriptor_[fd];
  poll_set.descriptors.push_back({static_cast<int>(fd), registration.events, 0});
  poll_set.serials.push_back(registration.serial);
}

void HandlerRegistry::append_all(PollSet& poll_set) const {
  for (std::size_t fd = 0; fd < by_descriptor_.size(); ++fd) {
    if (is_polled(by_descriptor_[fd]))
      append(fd, poll_set);
  }
}

void HandlerRegistry::append_urgent(PollSet& poll_set) const {
  for (std::size_t fd = 0; fd < by_descriptor_.size(); ++fd) {
    const Registration& registration = by_descriptor_[fd];
    if (is_polled(registration) && registration.priority == HandlerPriority::urgent)
      append(fd, poll_set);
  }
}

}  // namespace lotusyard::net
