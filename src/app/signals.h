// Unix signals as requests to the event loop: a handler sets a flag and wakes up poll(2).
#pragma once

#include "net/event_loop.h"
#include "net/socket.h"

namespace lotusyard {

// Installs the handlers of SIGTERM, SIGINT, SIGUSR1 and SIGHUP, and ignores SIGPIPE. At most one per process.
class Signals final : public net::EventHandler {
 public:
  // Throws std::runtime_error if no pipe can be opened.
  explicit Signals(net::EventLoop& loop);
  ~Signals() override;

  void ready(short events) override;

  // Each returns true once for all signals of its kind since the last call.
  bool print_requested();      // SIGUSR1
  bool reload_requested();     // SIGHUP
  bool terminate_requested();  // SIGTERM or SIGINT

 private:
  net::EventLoop& loop_;
  net::Socket read_end_;
  net::Socket write_end_;
};

}  // namespace lotusyard
