// The platform's front: clients that CALL, CANCEL and CHECK over RESP.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/dispatcher.h"
#include "metrics/counters.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "net/socket.h"
#include "resp/arrival_clock.h"
#include "resp/parser.h"

namespace lotusyard::resp {

class FrontEnd final : public core::FrontEnd, private net::EventHandler {
 public:
  struct Limits {
    std::size_t clients = 256, new_connections = 64;  // connections that have asked something, and not yet
    std::size_t calls_a_client = 32;
    std::size_t body_bytes = 48U << 20;   // of all open calls
    std::size_t unread_bytes = 8U << 20;  // answers that one client has not read
  };
  FrontEnd(net::EventLoop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher,
           metrics::Counters& counters, Limits limits);
  ~FrontEnd() override;

  bool listen(const std::string& address);
  void listen(net::Socket listener);  // one that was inherited, and is never shut down
  bool listening() const { return static_cast<bool>(listener_); }
  std::string address() const { return net::bound_address(listener_); }
  void drain() { draining_ = true; }  // CHECK says DOWN from now on; calls are still taken
  void stop_listening();              // whoever has connected by now is taken first
  // Another process takes clients now: none are accepted here, and each connection ends once nothing is open
  // on it. To be called again in each turn; true once all have ended.
  bool hand_off_connections();
  // New calls are refused, and those that only wait, so that what is open on a busy connection ends.
  void stop_admitting();
  // All calls get their answers now, and new ones are refused: the process is about to end.
  void answer_open_calls();
  // True if clients have sent something that has not been read; it is read now.
  bool drain_sockets();
  void set_limits(const Limits& limits) { limits_ = limits; }
  std::size_t open_calls() const { return by_call_.size(); }
  bool written() const;  // nothing waits to be written

  void answer(core::CallId call, core::Answer&& answer) override;
  ClientState client_state(core::CallId call, core::Millis heard_since) override;
  void read_client_input(core::CallId call) override;

 private:
  class ClientConnection;
  struct OpenTag {
    ClientConnection* client;
    std::string tag;
    std::size_t body_bytes;
  };
  net::EventLoop& loop_;
  net::BufferPool& pool_;
  core::Dispatcher& dispatcher_;
  metrics::Counters& counters_;
  Limits limits_;
  net::Socket listener_;
  ArrivalClock connects_{core::Millis(0), core::Millis(0)};
  using Clients = std::list<std::shared_ptr<ClientConnection>>;
  Clients clients_, idle_without_request_,
      partial_request_;  // those that asked, or sent nothing, or a part; longest unheard first
  std::unordered_map<core::CallId, OpenTag> by_call_;
  std::size_t bodies_ = 0;
  net::EventLoop::TimerId resume_{};
  bool draining_ = false, paused_ = false, admitting_ = true, inherited_ = false;

  void ready(short events) override;
  bool accept_some();
  void abort_calls(core::Dispatcher::CallSelection which);
  void close_listener();
  bool promote(ClientConnection& client);
  Clients& list_of(const ClientConnection& client);
  void heard(ClientConnection& client);
  void bound_new_connections();
  void close_malformed(ClientConnection& client, const metrics::Counter& why);
  void evict(const std::shared_ptr<ClientConnection>& client, const metrics::Counter& why);
  void pause_listening();
  void resume_listening();
  void handle_command(ClientConnection& client, Words&& words);
  void call(ClientConnection& client, Words&& words);
  void reject(ClientConnection& client, const std::string& tag, const metrics::Counter& why,
              core::CallStatus status = core::CallStatus::failed);
  void write_response(ClientConnection& client, const std::string& tag, core::CallStatus status,
                      core::Millis retry_after, std::string_view body);
  void forget_call(core::CallId call);
  void close_if_drained(ClientConnection& client);
  void evict_until_free(std::size_t bytes);
  void on_disconnected(ClientConnection& client);
};

}  // namespace lotusyard::resp
