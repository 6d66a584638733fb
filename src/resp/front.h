// The platform's front: clients that CALL, CANCEL and CHECK over RESP.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/counters.h"
#include "core/dispatcher.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "net/socket.h"
#include "resp/arrival_clock.h"
#include "resp/parser.h"

namespace lotusyard::resp {

class Front final : public core::Front, private net::EventHandler {
 public:
  struct Limits {
    std::size_t clients = 256, newcomers = 64;  // connections that have asked something, and not yet
    std::size_t calls_a_client = 32;
    std::size_t body_bytes = 48U << 20;   // of all open calls
    std::size_t unread_bytes = 8U << 20;  // answers that one client has not read
  };
  Front(net::EventLoop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
        Limits limits);
  ~Front() override;

  bool listen(const std::string& address);
  void listen(net::Socket listener);  // one that was inherited, and is never shut down
  bool listening() const { return static_cast<bool>(listener_); }
  std::string address() const { return net::bound_address(listener_); }
  void drain() { draining_ = true; }  // CHECK says DOWN from now on; calls are still taken
  void stop_listening();              // whoever has connected by now is taken first
  // Another process takes clients now: none are accepted here, and each connection ends once nothing is open
  // on it. To be called again in each turn; true once all have ended.
  bool hand_over();
  // New calls are refused, and those that only wait, so that what is open on a busy connection ends.
  void take_no_more();
  // All calls get their answers now, and new ones are refused: the process is about to end.
  void answer_all();
  // True if clients have sent something that has not been read; it is read now.
  bool read_what_came();
  void set_limits(const Limits& limits) { limits_ = limits; }
  std::size_t open_calls() const { return by_call_.size(); }
  bool written() const;  // nothing waits to be written

  void answer(core::CallId call, core::Answer&& answer) override;
  ClientState client_state(core::CallId call, core::Millis heard_since) override;
  void read_caller(core::CallId call) override;

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
  core::Counters& counters_;
  Limits limits_;
  net::Socket listener_;
  ArrivalClock connects_{core::Millis(0), core::Millis(0)};
  using Clients = std::list<std::shared_ptr<ClientConnection>>;
  Clients clients_, silent_, begun_;  // those that asked, or sent nothing, or a part; longest unheard first
  std::unordered_map<core::CallId, OpenTag> by_call_;
  std::size_t bodies_ = 0;
  net::EventLoop::TimerId resume_{};
  bool draining_ = false, paused_ = false, takes_ = true, inherited_ = false;

  void ready(short events) override;
  bool accept_some();
  void give_up(core::Dispatcher::CallSelection which);
  void close_listener();
  bool promote(ClientConnection& client);
  Clients& list_of(const ClientConnection& client);
  void heard(ClientConnection& client);
  void bound_newcomers();
  void spoil(ClientConnection& client, const char* why);
  void shed(const std::shared_ptr<ClientConnection>& client, const char* why);
  void pause_listening();
  void resume_listening();
  void take(ClientConnection& client, Words&& words);
  void call(ClientConnection& client, Words&& words);
  void reject(ClientConnection& client, const std::string& tag, const char* why,
              core::Verdict verdict = core::Verdict::failed);
  void say(ClientConnection& client, const std::string& tag, core::Verdict verdict, core::Millis cooldown,
           std::string_view body);
  void unfile(core::CallId call);
  void end_if_spent(ClientConnection& client);
  void make_room(std::size_t bytes);
  void gone(ClientConnection& client);
};

}  // namespace lotusyard::resp
