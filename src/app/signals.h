// Signals, told to the loop: a handler sets a flag and ends poll(2) at once.
#pragma once

#include "net/event_loop.h"
#include "net/socket.h"

namespace lotusyard {

class Signals final : public net::EventHandler {
 public:
  explicit Signals(net::EventLoop& loop);
  ~Signals() override;
  void ready(short events) override;
  // Each is told once.
  bool print_requested();
  bool reload_requested();
  bool terminate_requested();

 private:
  net::EventLoop& loop_;
  net::Socket read_end_, write_end_;
};

}  // namespace lotusyard
