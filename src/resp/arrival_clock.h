// When something that is read now can have come at the earliest.
#pragma once

#include "net/event_loop.h"

namespace lotusyard::resp {

// Of one descriptor. A client's time counts from when it sent, and its bytes may stand unread: through a long
// turn, behind more than a turn reads, or while the process was stopped. What is not known counts as waited.
class ArrivalClock {
 public:
  ArrivalClock(net::Millis opened_since, net::Millis now) : earliest_arrival_(opened_since), read_at_(now) {}

  // To be asked at each read: what is read now has come no sooner than this.
  net::Millis earliest_arrival(const net::EventLoop& loop) {
    if (!unwatched_ && loop.earliest_arrival() > read_at_) {
      earliest_arrival_ = loop.earliest_arrival();  // a poll(2) after the last read found nothing
    } else if (all_read_) {
      earliest_arrival_ = read_at_;
    }
    all_read_ = false;
    read_at_ = loop.now();
    return earliest_arrival_;
  }
  // The last read has left nothing.
  void all_read() {
    all_read_ = true;
    unwatched_ = false;
  }
  // The loop does not look at it for a while, though something stands there.
  void unwatched() { unwatched_ = true; }

 private:
  net::Millis earliest_arrival_, read_at_;
  bool all_read_ = false, unwatched_ = false;
};

}  // namespace lotusyard::resp
