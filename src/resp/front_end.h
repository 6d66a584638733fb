// The RESP front end: clients connect over TCP and send CALL, CANCEL and CHECK.
#pragma once

#include <string>

#include "core/dispatcher.h"
#include "metrics/counters.h"
#include "net/event_loop.h"
#include "net/socket.h"
#include "resp/client_connection.h"
#include "resp/client_limits.h"
#include "resp/client_listener.h"
#include "resp/client_table.h"
#include "resp/command_handler.h"
#include "resp/open_call_table.h"
#include "resp/response_writer.h"

namespace lotusyard::resp {

// Connects the parts of the front end. A request counts as accepted once its last byte has arrived on an
// accepted connection; from then on it gets an answer, however its connection ends, unless its client closes
// it.
class FrontEnd final : public core::FrontEnd, private ClientConnectionListener {
 public:
  using Limits = ClientLimits;

  FrontEnd(net::EventLoop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher,
           metrics::Counters& counters, Limits limits);
  FrontEnd(const FrontEnd&) = delete;
  FrontEnd& operator=(const FrontEnd&) = delete;

  // Listens on an address; false if that is not possible.
  bool listen(const std::string& address) { return listener_.listen(address); }
  // Listens on an inherited socket, which other processes may have, too.
  void listen(net::Socket listener) { listener_.listen_on_inherited(std::move(listener)); }
  bool listening() const { return listener_.is_listening(); }
  std::string address() const { return listener_.address(); }
  void set_limits(const Limits& limits);

  // CHECK is answered with DOWN from now on; calls are still admitted.
  void drain() { commands_.report_not_serving(); }
  // Closes the listener. Clients that have connected by now are accepted first, unless the socket was
  // inherited.
  void stop_listening() { listener_.stop(); }
  // Rejects new calls, and those that were never sent to a host, so that a busy connection becomes idle.
  void stop_admitting();
  // Answers all open calls at once and rejects new ones: the process is about to exit.
  void answer_open_calls();
  // Another process serves clients from now on: accepts none, and closes each connection once nothing is open
  // on it. To be called in each iteration; true once no connection is left.
  bool hand_off_connections();
  // Reads what clients have sent by now; returns false if there was nothing.
  bool drain_sockets();

  std::size_t open_calls() const { return open_calls_.size(); }
  // Clients have received all responses, except those that seem to read no more.
  bool all_delivered() const { return clients_.all_delivered(); }

  void answer(core::CallId call, core::Answer&& answer) override;
  ClientState client_state(core::CallId call, core::Millis read_since) override;
  void read_client_input(core::CallId call) override;

 private:
  void on_accepted(net::Socket socket, core::Millis connected_since);
  void on_input(ClientConnection& client, bool has_command) override;
  void on_calls_skipped(std::size_t count) override;
  void on_command(ClientConnection& client, Words&& command) override;
  void on_input_handled(ClientConnection& client) override;
  void on_input_error(ClientConnection& client, InputError error) override;
  void on_disconnected(ClientConnection& client) override;

  void abort_calls(core::Dispatcher::CallSelection selection);
  void close_if_drained(ClientConnection& client);

  net::EventLoop& loop_;
  net::BufferPool& pool_;
  core::Dispatcher& dispatcher_;
  metrics::Counters& counters_;
  Limits limits_;  // the parts below refer to it
  ClientTable clients_;
  OpenCallTable open_calls_;
  ResponseWriter responses_;
  CommandHandler commands_;
  ClientListener listener_;
};

}  // namespace lotusyard::resp
