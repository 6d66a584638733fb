// Bounds the time at which something that is read now can have arrived.
#pragma once

#include "net/event_loop.h"

namespace lotusyard::net {

// The clock of one descriptor. The time-out of a call counts from when its client sent it, and its bytes may
// stay unread: through a long iteration, behind more than one iteration reads, or while the process is
// stopped. Where the time of arrival is not known, the earliest possible one is taken.
class ArrivalClock {
 public:
  // Nothing can have arrived before `opened_at`.
  ArrivalClock(Millis opened_at, Millis now) : earliest_arrival_(opened_at), read_at_(now) {}

  // To be called at each read; what is read now has arrived no sooner than the time returned.
  Millis earliest_arrival(const EventLoop& loop) {
    const bool polled_since_read = !paused_ && loop.earliest_arrival() > read_at_;
    if (polled_since_read) {
      earliest_arrival_ = loop.earliest_arrival();  // poll(2) found nothing after the last read
    } else if (all_read_) {
      earliest_arrival_ = read_at_;
    }
    all_read_ = false;
    read_at_ = loop.now();
    return earliest_arrival_;
  }

  // The last read has left nothing.
  void mark_all_read() {
    all_read_ = true;
    paused_ = false;
  }

  // The descriptor is not polled until the next read, though input waits there.
  void mark_paused() { paused_ = true; }

 private:
  Millis earliest_arrival_;
  Millis read_at_;
  bool all_read_ = false;
  bool paused_ = false;
};

}  // namespace lotusyard::net
