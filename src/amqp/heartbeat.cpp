#include "amqp/heartbeat.h"

namespace lotusyard::amqp {
namespace {

// Both factors are the specification's: at least one heartbeat an interval, two missed ones end a connection.
constexpr double kHeartbeatsPerInterval = 2;
constexpr double kSilentIntervals = 2;

}  // namespace

void Heartbeat::start(net::Millis interval) {
  interval_ = interval;
  send();
  on_received();
}

void Heartbeat::send() {
  if (interval_.count() <= 0)
    return;
  sender_.send_heartbeat();
  send_timer_ = loop_.schedule_at(loop_.now() + interval_ / kHeartbeatsPerInterval, [this] { send(); });
}

void Heartbeat::on_received() {
  loop_.cancel(silence_timer_);
  if (interval_.count() <= 0)
    return;
  silence_timer_ = loop_.schedule_at(loop_.now() + interval_ * kSilentIntervals, on_silence_);
}

void Heartbeat::stop() {
  loop_.cancel(send_timer_);
  loop_.cancel(silence_timer_);
}

}  // namespace lotusyard::amqp
