// Signals, told to the loop: a handler sets a flag and ends poll(2) at once.
#pragma once

#include "net/loop.h"
#include "net/socket.h"

namespace lotusyard {

class Signals final : public net::Handler {
 public:
  explicit Signals(net::Loop& loop);
  ~Signals() override;
  void ready(short events) override;
  // Each is told once.
  bool print();
  bool reread();
  bool terminate();

 private:
  net::Loop& loop_;
  net::Socket read_end_, write_end_;
};

}  // namespace lotusyard
