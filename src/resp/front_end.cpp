#include <algorithm>
#include <cmath>

#include "metrics/client_counters.h"
#include "net/fields.h"
#include "resp/client_connection.h"

namespace lotusyard::resp {
namespace {

constexpr std::size_t kFaultsMost = 64;  // calls of one connection that were turned away unread

}  // namespace

FrontEnd::FrontEnd(net::EventLoop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher,
                   metrics::Counters& counters, Limits limits)
    : loop_(loop), pool_(pool), dispatcher_(dispatcher), counters_(counters), limits_(limits) {}

FrontEnd::~FrontEnd() {
  loop_.cancel(resume_);
  close_listener();
}

bool FrontEnd::listen(const std::string& address) {
  listen(net::listen_on(address));
  inherited_ = false;
  return listening();
}

void FrontEnd::listen(net::Socket listener) {
  listener_ = std::move(listener);
  inherited_ = true;
  if (listener_)
    loop_.register_handler(listener_.fd(), *this, POLLIN);
}

void FrontEnd::stop_admitting() {
  // Calls that are held for long keep their connection from its end; what comes meanwhile is refused.
  if (std::exchange(admitting_, false))
    abort_calls(core::Dispatcher::CallSelection::never_sent);
}

void FrontEnd::answer_open_calls() {
  admitting_ = false;
  abort_calls(core::Dispatcher::CallSelection::all);
}

void FrontEnd::abort_calls(core::Dispatcher::CallSelection which) {
  dispatcher_.abort_calls(which, [this](core::CallId id) { return by_call_.count(id) != 0; });
}

bool FrontEnd::drain_sockets() {
  bool came = false;
  for (const auto* list : {&clients_, &idle_without_request_, &partial_request_}) {
    for (const auto& client : std::vector<std::shared_ptr<ClientConnection>>(list->begin(), list->end())) {
      if (client->is_closing() || client->peer_state() == net::PeerState::idle)
        continue;
      came = true;
      client->ready(POLLIN);
    }
  }
  return came;
}

bool FrontEnd::hand_off_connections() {
  stop_listening();
  for (const auto& client :
       std::vector<std::shared_ptr<ClientConnection>>(clients_.begin(), clients_.end())) {
    if (!client->at_rest())
      continue;
    client->ready(POLLIN);  // a request that has come by now is served
    if (client->at_rest())
      client->shutdown_after_flush();
  }
  return clients_.empty() && idle_without_request_.empty() && partial_request_.empty();
}

void FrontEnd::stop_listening() {
  if (!listener_)
    return;
  // Whoever has connected and not been accepted, and what they have sent, would be reset by the
  // close.
  while (!inherited_ && accept_some()) {
  }
  close_listener();
}

void FrontEnd::close_listener() {
  if (!listener_)
    return;
  loop_.unregister(listener_.fd(), *this);
  listener_.close();
}

bool FrontEnd::written() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const auto& c) { return c->send_queue().empty(); });
}

// What comes over it cannot be understood from here on. Calls that came before are owed their
// answers: it ends when they have them.
void FrontEnd::close_malformed(ClientConnection& client, const metrics::Counter& why) {
  counters_.add(why);
  client.malformed = client.refuses = true;
  if (!client.asked)
    return client.close_later();
  close_if_drained(client);
}

void FrontEnd::handle_command(ClientConnection& client, Words&& words) {
  const auto tag = words.size() < 2 ? std::nullopt : net::parse_whole(words[1], UINT64_MAX);
  if (!tag || *tag == 0) {
    counters_.add(metrics::kRespNoTag);  // there is nothing to answer under
    client.refuses = true;
    return;
  }
  if (words[0] == "CALL")
    return call(client, std::move(words));
  if (words[0] == "CANCEL") {
    counters_.add(metrics::kRespCancels);
    const auto found = client.open_calls.find(words[1]);
    if (found == client.open_calls.end())
      return;  // its answer has crossed
    const core::CallId id = found->second;
    forget_call(id);
    return dispatcher_.client_disconnected(id);
  }
  std::string out;
  if (words[0] == "CHECK") {
    write_array(out, {words[1], draining_ ? "DOWN" : "UP"});
  } else {
    counters_.add(metrics::kRespUnknownVerb);
    write_array(out, {words[1], "FAILED"});
  }
  client.write(out);
}

// A client that sends the same again as soon as it is turned away would do so for ever.
void FrontEnd::reject(ClientConnection& client, const std::string& tag, const metrics::Counter& why,
                      core::CallStatus status) {
  counters_.add(why);
  write_response(client, tag, status, core::Millis(0), {});
  if (++client.faults > kFaultsMost)
    client.refuses = true;
}

// Not before its sound calls have their answers: they are owed them whatever else came. A call that
// has come by then, read or not, would be lost with its connection: it is refused.
void FrontEnd::close_if_drained(ClientConnection& client) {
  if (!client.refuses || !client.open_calls.empty() || client.is_closing())
    return;
  if (std::exchange(client.parting, true))
    return;  // further up the stack
  const std::shared_ptr<ClientConnection> kept = *client.place;
  kept->drain_socket();
  if (kept->is_closing())
    return;
  if (!kept->no_place) {
    counters_.add(metrics::kRespFaultsClosed);
    return kept->shutdown_after_flush();
  }
  // Closed at the turn's end, as many as are accepted in a turn would stand beside those that have a
  // place.
  kept->flush_now();
  kept->close_later();
  kept->flush();
}

void FrontEnd::write_response(ClientConnection& client, const std::string& tag, core::CallStatus status,
                              core::Millis retry_after, std::string_view body) {
  std::string out;
  if (status == core::CallStatus::succeeded) {
    write_array(out, {tag, "OK", "", body});
  } else {
    const char* const name = status == core::CallStatus::rejected ? "BUSY" : "FAILED";
    const auto wait = static_cast<std::int64_t>(std::ceil(std::max(retry_after.count(), 0.0)));
    if (wait > 0) {
      write_array(out, {tag, name, "cooldown=" + std::to_string(wait)});
    } else {
      write_array(out, {tag, name});
    }
  }
  evict_until_free(out.size());
  client.write(out);
  // Guards the pool against a client that does not read.
  if (client.unread() <= limits_.unread_bytes)
    return;
  counters_.add(metrics::kRespUnreadClosed);
  client.close_later();
}

// With no buffer left whoever is written to next would be cut off, and not whoever does not read.
void FrontEnd::evict_until_free(std::size_t bytes) {
  while (pool_.bytes_available() < bytes + net::BufferPool::block_size) {
    const auto less = [](const auto& a, const auto& b) { return a->unread() < b->unread(); };
    const auto most = std::max_element(clients_.begin(), clients_.end(), less);
    if (most == clients_.end() || (*most)->unread() < net::BufferPool::block_size)
      return;
    evict(*most, metrics::kRespUnreadClosed);
  }
}

void FrontEnd::answer(core::CallId call, core::Answer&& answer) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end())
    return;  // cancelled, or its client has gone
  const OpenTag filed = found->second;
  forget_call(call);
  write_response(*filed.client, filed.tag, answer.status, answer.retry_after, answer.body);
  close_if_drained(*filed.client);
}

core::FrontEnd::ClientState FrontEnd::client_state(core::CallId call, core::Millis heard_since) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end())
    return ClientState::disconnected;
  ClientConnection& client = *found->second.client;
  switch (client.peer_state()) {
    case net::PeerState::idle:
      return ClientState::waiting;
    case net::PeerState::readable:
      return client.heard_at() >= heard_since ? ClientState::waiting : ClientState::has_unread_input;
    case net::PeerState::disconnected:
      break;
  }
  client.close_later();
  return ClientState::disconnected;
}

void FrontEnd::read_client_input(core::CallId call) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end())
    return;
  const std::shared_ptr<ClientConnection> kept = *found->second.client->place;
  kept->drain_socket();
}

void FrontEnd::forget_call(core::CallId call) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end())
    return;
  bodies_ -= found->second.body_bytes;
  found->second.client->open_calls.erase(found->second.tag);
  by_call_.erase(found);
}

void FrontEnd::on_disconnected(ClientConnection& client) {
  const std::shared_ptr<ClientConnection> kept = *client.place;
  list_of(client).erase(client.place);
  std::vector<core::CallId> left;
  for (const auto& [tag, id] : client.open_calls)
    left.push_back(id);
  std::sort(left.begin(), left.end());
  for (const auto id : left)
    forget_call(id);
  for (const auto id : left)
    dispatcher_.client_disconnected(id);
  loop_.delete_later(kept);
  if (paused_)
    resume_listening();
}

}  // namespace lotusyard::resp
