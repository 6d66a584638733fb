// Heartbeats of a connection to a broker: sends them, and detects that the broker has fallen silent.
#pragma once

#include <functional>

#include "amqp/method_sender.h"
#include "net/event_loop.h"

namespace lotusyard::amqp {

// `loop` and `sender` must outlive it.
class Heartbeat {
 public:
  // `on_silence` is called once nothing has arrived for two intervals.
  Heartbeat(net::EventLoop& loop, MethodSender& sender, std::function<void()> on_silence)
      : loop_(loop), sender_(sender), on_silence_(std::move(on_silence)) {}
  ~Heartbeat() { stop(); }
  Heartbeat(const Heartbeat&) = delete;
  Heartbeat& operator=(const Heartbeat&) = delete;

  // Sends a heartbeat now and then twice each interval. An interval of zero switches heartbeats off.
  void start(net::Millis interval);
  // To be called whenever bytes arrive from the broker, also before start().
  void on_received();
  void stop();

 private:
  void send();

  net::EventLoop& loop_;
  MethodSender& sender_;
  std::function<void()> on_silence_;
  net::Millis interval_{0};
  net::EventLoop::TimerId send_timer_{};
  net::EventLoop::TimerId silence_timer_{};
};

}  // namespace lotusyard::amqp
