#include "resp/front_end.h"

#include <memory>
#include <utility>
#include <vector>

#include "metrics/client_counters.h"
#include "resp/connection_hand_off.h"

namespace lotusyard::resp {
namespace {

const metrics::Counter& counter_of(InputError error) {
  switch (error) {
    case InputError::incomplete_request:
      return metrics::kRespHalfRequest;
    case InputError::no_request:
      return metrics::kRespNoRequest;
    case InputError::malformed:
      break;
  }
  return metrics::kRespMalformed;
}

}  // namespace

FrontEnd::FrontEnd(net::EventLoop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher,
                   metrics::Counters& counters, Limits limits)
    : loop_(loop),
      pool_(pool),
      dispatcher_(dispatcher),
      counters_(counters),
      limits_(limits),
      clients_(pool, counters, limits_),
      responses_(clients_, counters, limits_),
      commands_(dispatcher, *this, counters, limits_, open_calls_, responses_),
      listener_(loop, counters, [this](net::Socket socket, core::Millis connected_since) {
        on_accepted(std::move(socket), connected_since);
      }) {}

void FrontEnd::set_limits(const Limits& limits) {
  limits_ = limits;
  clients_.limit_new_connections();
}

void FrontEnd::stop_admitting() {
  // Calls that wait for a host for long would keep their connection from becoming idle.
  if (commands_.stop_admitting())
    abort_calls(core::Dispatcher::CallSelection::never_sent);
}

void FrontEnd::answer_open_calls() {
  commands_.stop_admitting();
  abort_calls(core::Dispatcher::CallSelection::all);
}

void FrontEnd::abort_calls(core::Dispatcher::CallSelection selection) {
  dispatcher_.abort_calls(selection, [this](core::CallId id) { return open_calls_.contains(id); });
}

bool FrontEnd::hand_off_connections() {
  stop_listening();
  close_connections_at_rest(clients_);
  return clients_.empty();
}

bool FrontEnd::drain_sockets() { return read_arrived_input(clients_); }

void FrontEnd::answer(core::CallId call, core::Answer&& answer) {
  const std::optional<OpenCall> open_call = open_calls_.remove(call);
  if (!open_call)
    return;  // it was cancelled, or its client has disconnected
  responses_.write_answer(*open_call->client, open_call->tag, answer);
  close_if_drained(*open_call->client);
}

core::FrontEnd::ClientState FrontEnd::client_state(core::CallId call, core::Millis read_since) {
  ClientConnection* const client = open_calls_.find_client(call);
  if (client == nullptr)
    return ClientState::disconnected;
  switch (client->peer_state()) {
    case net::PeerState::idle:
      return ClientState::waiting;
    case net::PeerState::readable:
      return client->all_read_at() >= read_since ? ClientState::waiting : ClientState::has_unread_input;
    case net::PeerState::disconnected:
      break;
  }
  client->close_later();
  return ClientState::disconnected;
}

void FrontEnd::read_client_input(core::CallId call) {
  ClientConnection* const client = open_calls_.find_client(call);
  if (client == nullptr)
    return;
  const std::shared_ptr<ClientConnection> kept_alive = client->shared_from_this();
  kept_alive->drain_socket();
}

void FrontEnd::on_accepted(net::Socket socket, core::Millis connected_since) {
  ClientConnectionListener& listener = *this;
  clients_.add(
      std::make_shared<ClientConnection>(loop_, pool_, std::move(socket), connected_since, listener));
}

void FrontEnd::on_input(ClientConnection& client, bool has_command) {
  if (has_command && !client.is_excess() && !clients_.establish(client))
    client.mark_excess();
  if (!client.has_sent_request())
    clients_.record_partial_request(client);
}

void FrontEnd::on_calls_skipped(std::size_t count) { counters_.add(metrics::kRespTakenBack, count); }

void FrontEnd::on_command(ClientConnection& client, Words&& command) {
  commands_.handle(client, std::move(command));
}

void FrontEnd::on_input_handled(ClientConnection& client) { close_if_drained(client); }

// Calls that arrived before the fault still get their answers.
void FrontEnd::on_input_error(ClientConnection& client, InputError error) {
  counters_.add(counter_of(error));
  client.stop_parsing();
  if (!client.has_sent_request())
    return client.close_later();
  close_if_drained(client);
}

// Closes a connection that rejects calls once all its calls are answered. A call that has arrived by then,
// read or not, would be lost with the connection: it is rejected.
void FrontEnd::close_if_drained(ClientConnection& client) {
  if (!client.rejects_calls() || client.open_call_count() > 0 || client.is_closing())
    return;
  if (!client.begin_close())
    return;  // a caller up the stack closes it
  const std::shared_ptr<ClientConnection> kept_alive = client.shared_from_this();
  kept_alive->drain_socket();
  if (kept_alive->is_closing())
    return;
  if (!kept_alive->is_excess()) {
    counters_.add(metrics::kRespFaultsClosed);
    return kept_alive->shutdown_after_flush();
  }
  // At once: closed at the end of the iteration, all that are accepted in it would be open beside the clients
  // that have a place.
  kept_alive->flush_now();
  kept_alive->close_later();
  kept_alive->flush();
}

void FrontEnd::on_disconnected(ClientConnection& client) {
  const std::shared_ptr<ClientConnection> kept_alive = client.shared_from_this();
  clients_.remove(client);
  const std::vector<core::CallId> open_calls = client.open_call_ids();
  for (const core::CallId id : open_calls)
    open_calls_.remove(id);
  for (const core::CallId id : open_calls)
    dispatcher_.client_disconnected(id);
  loop_.delete_later(kept_alive);
  listener_.resume_if_paused();  // it had no descriptor to accept with
}

}  // namespace lotusyard::resp
