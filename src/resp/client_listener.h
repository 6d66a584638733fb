// The socket on which clients connect.
#pragma once

#include <functional>
#include <string>

#include "core/types.h"
#include "metrics/counters.h"
#include "net/arrival_clock.h"
#include "net/event_loop.h"
#include "net/socket.h"

namespace lotusyard::resp {

class ClientListener final : private net::EventHandler {
 public:
  // Takes an accepted connection; the client connected no sooner than `connected_since`.
  using AcceptHandler = std::function<void(net::Socket socket, core::Millis connected_since)>;

  ClientListener(net::EventLoop& loop, metrics::Counters& counters, AcceptHandler on_accepted)
      : loop_(loop), counters_(counters), on_accepted_(std::move(on_accepted)) {}
  ~ClientListener() override;
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;

  // Listens on an address; false if that is not possible.
  bool listen(const std::string& address);
  // Listens on a socket that other processes may share; stop() leaves pending connections to them.
  void listen_on_inherited(net::Socket listener);
  bool is_listening() const { return static_cast<bool>(listener_); }
  std::string address() const { return net::bound_address(listener_); }

  // Closes the socket; unless it was inherited, all pending connections are accepted first.
  void stop();
  // A descriptor may have become free: accepts again, if that had been paused.
  void resume_if_paused();

 private:
  void ready(short events) override;
  void listen_on(net::Socket listener);
  bool accept_some();
  void pause();
  void resume();
  void close();

  net::EventLoop& loop_;
  metrics::Counters& counters_;
  AcceptHandler on_accepted_;
  net::Socket listener_;
  bool inherited_ = false;
  net::ArrivalClock arrivals_{core::Millis(0), core::Millis(0)};
  bool paused_ = false;
  net::EventLoop::TimerId resume_timer_{};
};

}  // namespace lotusyard::resp
