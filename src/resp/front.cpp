#include <algorithm>
#include <cmath>

#include "net/fields.h"
#include "resp/client.h"

namespace lotusyard::resp {
namespace {

constexpr std::size_t kFaultsMost = 64;  // calls of one connection that were turned away unread

}  // namespace

Front::Front(net::EventLoop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher,
             core::Counters& counters, Limits limits)
    : loop_(loop), pool_(pool), dispatcher_(dispatcher), counters_(counters), limits_(limits) {}

Front::~Front() {
  loop_.cancel(resume_);
  close_listener();
}

bool Front::listen(const std::string& address) {
  listen(net::listen_on(address));
  inherited_ = false;
  return listening();
}

void Front::listen(net::Socket listener) {
  listener_ = std::move(listener);
  inherited_ = true;
  if (listener_)
    loop_.register_handler(listener_.fd(), *this, POLLIN);
}

void Front::take_no_more() {
  // Calls that are held for long keep their connection from its end; what comes meanwhile is refused.
  if (std::exchange(takes_, false))
    give_up(core::Dispatcher::CallSelection::never_sent);
}

void Front::answer_all() {
  takes_ = false;
  give_up(core::Dispatcher::CallSelection::all);
}

void Front::give_up(core::Dispatcher::CallSelection which) {
  dispatcher_.abort_calls(which, [this](core::CallId id) { return by_call_.count(id) != 0; });
}

bool Front::read_what_came() {
  bool came = false;
  for (const auto* list : {&clients_, &silent_, &begun_}) {
    for (const auto& client : std::vector<std::shared_ptr<ClientConnection>>(list->begin(), list->end())) {
      if (client->is_closing() || client->peer_state() == net::PeerState::idle)
        continue;
      came = true;
      client->ready(POLLIN);
    }
  }
  return came;
}

bool Front::hand_over() {
  stop_listening();
  for (const auto& client :
       std::vector<std::shared_ptr<ClientConnection>>(clients_.begin(), clients_.end())) {
    if (!client->at_rest())
      continue;
    client->ready(POLLIN);  // a request that has come by now is served
    if (client->at_rest())
      client->shutdown_after_flush();
  }
  return clients_.empty() && silent_.empty() && begun_.empty();
}

void Front::stop_listening() {
  if (!listener_)
    return;
  // Whoever has connected and not been accepted, and what they have sent, would be reset by the
  // close.
  while (!inherited_ && accept_some()) {
  }
  close_listener();
}

void Front::close_listener() {
  if (!listener_)
    return;
  loop_.unregister(listener_.fd(), *this);
  listener_.close();
}

bool Front::written() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const auto& c) { return c->send_queue().empty(); });
}

// What comes over it cannot be understood from here on. Calls that came before are owed their
// answers: it ends when they have them.
void Front::spoil(ClientConnection& client, const char* why) {
  counters_.add(why);
  client.spoilt = client.refuses = true;
  if (!client.asked)
    return client.close_later();
  end_if_spent(client);
}

void Front::take(ClientConnection& client, Words&& words) {
  const auto tag = words.size() < 2 ? std::nullopt : net::parse_whole(words[1], UINT64_MAX);
  if (!tag || *tag == 0) {
    counters_.add("resp.no_tag");  // there is nothing to answer under
    client.refuses = true;
    return;
  }
  if (words[0] == "CALL")
    return call(client, std::move(words));
  if (words[0] == "CANCEL") {
    counters_.add("resp.cancels");
    const auto found = client.open_calls.find(words[1]);
    if (found == client.open_calls.end())
      return;  // its answer has crossed
    const core::CallId id = found->second;
    unfile(id);
    return dispatcher_.client_disconnected(id);
  }
  std::string out;
  if (words[0] == "CHECK") {
    write_array(out, {words[1], draining_ ? "DOWN" : "UP"});
  } else {
    counters_.add("resp.unknown_verb");
    write_array(out, {words[1], "FAILED"});
  }
  client.write(out);
}

// A client that sends the same again as soon as it is turned away would do so for ever.
void Front::reject(ClientConnection& client, const std::string& tag, const char* why, core::Verdict verdict) {
  counters_.add(why);
  say(client, tag, verdict, core::Millis(0), {});
  if (++client.faults > kFaultsMost)
    client.refuses = true;
}

// Not before its sound calls have their answers: they are owed them whatever else came. A call that
// has come by then, read or not, would be lost with its connection: it is refused.
void Front::end_if_spent(ClientConnection& client) {
  if (!client.refuses || !client.open_calls.empty() || client.is_closing())
    return;
  if (std::exchange(client.parting, true))
    return;  // further up the stack
  const std::shared_ptr<ClientConnection> kept = *client.place;
  kept->read_what_came();
  if (kept->is_closing())
    return;
  if (!kept->no_place) {
    counters_.add("resp.faults_closed");
    return kept->shutdown_after_flush();
  }
  // Closed at the turn's end, as many as are accepted in a turn would stand beside those that have a
  // place.
  kept->flush_now();
  kept->close_later();
  kept->flush();
}

void Front::say(ClientConnection& client, const std::string& tag, core::Verdict verdict,
                core::Millis cooldown, std::string_view body) {
  std::string out;
  if (verdict == core::Verdict::served) {
    write_array(out, {tag, "OK", "", body});
  } else {
    const char* const name = verdict == core::Verdict::refused ? "BUSY" : "FAILED";
    const auto wait = static_cast<std::int64_t>(std::ceil(std::max(cooldown.count(), 0.0)));
    if (wait > 0) {
      write_array(out, {tag, name, "cooldown=" + std::to_string(wait)});
    } else {
      write_array(out, {tag, name});
    }
  }
  make_room(out.size());
  client.write(out);
  // Guards the pool against a client that does not read.
  if (client.unread() <= limits_.unread_bytes)
    return;
  counters_.add("resp.unread_closed");
  client.close_later();
}

// With no buffer left whoever is written to next would be cut off, and not whoever does not read.
void Front::make_room(std::size_t bytes) {
  while (pool_.bytes_available() < bytes + net::BufferPool::block_size) {
    const auto less = [](const auto& a, const auto& b) { return a->unread() < b->unread(); };
    const auto most = std::max_element(clients_.begin(), clients_.end(), less);
    if (most == clients_.end() || (*most)->unread() < net::BufferPool::block_size)
      return;
    shed(*most, "resp.unread_closed");
  }
}

void Front::answer(core::CallId call, core::Answer&& answer) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end())
    return;  // cancelled, or its client has gone
  const OpenTag filed = found->second;
  unfile(call);
  say(*filed.client, filed.tag, answer.verdict, answer.cooldown, answer.body);
  end_if_spent(*filed.client);
}

core::Front::ClientState Front::client_state(core::CallId call, core::Millis heard_since) {
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

void Front::read_caller(core::CallId call) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end())
    return;
  const std::shared_ptr<ClientConnection> kept = *found->second.client->place;
  kept->read_what_came();
}

void Front::unfile(core::CallId call) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end())
    return;
  bodies_ -= found->second.body_bytes;
  found->second.client->open_calls.erase(found->second.tag);
  by_call_.erase(found);
}

void Front::gone(ClientConnection& client) {
  const std::shared_ptr<ClientConnection> kept = *client.place;
  list_of(client).erase(client.place);
  std::vector<core::CallId> left;
  for (const auto& [tag, id] : client.open_calls)
    left.push_back(id);
  std::sort(left.begin(), left.end());
  for (const auto id : left)
    unfile(id);
  for (const auto id : left)
    dispatcher_.client_disconnected(id);
  loop_.delete_later(kept);
  if (paused_)
    resume_listening();
}

}  // namespace lotusyard::resp
