#include "resp/client_table.h"

#include <poll.h>

#include <algorithm>
#include <utility>

#include "metrics/client_counters.h"

namespace lotusyard::resp {
namespace {

const metrics::Counter& counter_of(EvictionReason reason) {
  switch (reason) {
    case EvictionReason::idle:
      return metrics::kRespIdleClosed;
    case EvictionReason::no_request:
      return metrics::kRespSilentClosed;
    case EvictionReason::unread_responses:
      break;
  }
  return metrics::kRespUnreadClosed;
}

bool has_no_unread_input(const std::shared_ptr<ClientConnection>& client) {
  return client->peer_state() != net::PeerState::readable;
}

// A request that has arrived and was not read yet, and a response on its way, would be lost with the
// connection.
bool is_evictable(const std::shared_ptr<ClientConnection>& client) {
  return client->is_delivered() && has_no_unread_input(client);
}

// Without this, clients that never read their responses would keep all places.
bool is_evictable_as_stalled(const std::shared_ptr<ClientConnection>& client) {
  const bool stalled = client->delivery() == ClientConnection::Delivery::stalled;
  return stalled && client->is_idle() && has_no_unread_input(client);
}

bool is_evictable_at_rest(const std::shared_ptr<ClientConnection>& client) {
  return client->is_at_rest() && is_evictable(client);
}

}  // namespace

// To the end of the list, as the most recently active one.
void ClientTable::move_to(ClientConnection& client, ClientStage stage) {
  ClientPosition& position = client.position();
  ClientList& target = list(stage);
  target.splice(target.end(), list(position.stage), position.iterator);
  position.stage = stage;
}

void ClientTable::add(std::shared_ptr<ClientConnection> client) {
  ClientList& new_connections = list(ClientStage::no_request);
  new_connections.push_back(std::move(client));
  new_connections.back()->position().iterator = std::prev(new_connections.end());
  limit_new_connections();
}

void ClientTable::remove(ClientConnection& client) {
  const ClientPosition& position = client.position();
  list(position.stage).erase(position.iterator);
}

void ClientTable::record_partial_request(ClientConnection& client) {
  move_to(client, ClientStage::partial_request);
  ++client.position().reads_before_request;
}

bool ClientTable::establish(ClientConnection& client) {
  const bool was_established = client.has_sent_request();
  move_to(client, ClientStage::established);
  const ClientList& established = list(ClientStage::established);
  if (established.size() <= limits_.clients)
    return true;
  if (evict_idle_client(std::prev(established.end())))
    return true;
  // Limits shrink while another process of this invoker runs. A client that was established before may have
  // calls open, and has to get their answers.
  if (was_established)
    return true;
  counters_.add(metrics::kRespNoPlace);
  return false;
}

// Evicts one of the clients before `end`; if possible one that has not sent a part of its next request.
bool ClientTable::evict_idle_client(ClientList::const_iterator end) {
  const ClientList& candidates = list(ClientStage::established);
  auto found = std::find_if(candidates.begin(), end, is_evictable_at_rest);
  if (found == end)
    found = std::find_if(candidates.begin(), end, is_evictable);
  if (found == end)
    found = std::find_if(candidates.begin(), end, is_evictable_as_stalled);
  if (found == end)
    return false;
  evict(*found, EvictionReason::idle);
  return true;
}

// New connections may use the places that no established client needs. When a request arrives, a connection
// keeps its place, so that the sum of both limits holds.
bool ClientTable::has_place_for_new_connections() const {
  const std::size_t new_connections = new_connection_count();
  const std::size_t all = new_connections + list(ClientStage::established).size();
  return new_connections <= limits_.new_connections || all <= limits_.new_connections + limits_.clients;
}

std::size_t ClientTable::new_connection_count() const {
  return list(ClientStage::no_request).size() + list(ClientStage::partial_request).size();
}

void ClientTable::limit_new_connections() {
  const std::size_t attempts = new_connection_count();
  for (std::size_t i = 0; i < attempts && !has_place_for_new_connections(); ++i)
    evict_new_connection();
}

void ClientTable::evict_new_connection() {
  const std::shared_ptr<ClientConnection> client = new_connection_to_evict();
  client->ready(POLLIN);
  if (!client->has_sent_request() && !client->is_closing())
    evict(client, EvictionReason::no_request);
}

// Thousands of connections may send nothing, or stop in the middle of a request. From the larger list the
// least recently active one is evicted; connections that send a request piece by piece are evicted last.
const std::shared_ptr<ClientConnection>& ClientTable::new_connection_to_evict() const {
  const ClientList& no_request = list(ClientStage::no_request);
  const ClientList& partial_request = list(ClientStage::partial_request);
  const ClientList& candidates = no_request.size() >= partial_request.size() ? no_request : partial_request;
  const auto stalled = std::find_if(candidates.begin(), candidates.end(), [](const auto& client) {
    return client->position().reads_before_request < 2;
  });
  return stalled != candidates.end() ? *stalled : candidates.front();
}

void ClientTable::evict_until_free(std::size_t bytes) {
  while (pool_.bytes_available() < bytes + net::BufferPool::kBlockSize) {
    const ClientList& established = list(ClientStage::established);
    const auto largest =
        std::max_element(established.begin(), established.end(), [](const auto& left, const auto& right) {
          return left->unwritten_bytes() < right->unwritten_bytes();
        });
    if (largest == established.end() || (*largest)->unwritten_bytes() < net::BufferPool::kBlockSize)
      return;
    // The kernel is offered the bytes first: until then nothing shows whether the client reads.
    const std::uint64_t unwritten = (*largest)->unwritten_bytes();
    (*largest)->flush_now();
    if ((*largest)->unwritten_bytes() < unwritten)
      continue;
    evict(*largest, EvictionReason::unread_responses);
  }
}

// Closes the connection at once, so that its descriptor and its buffers are free.
void ClientTable::evict(const std::shared_ptr<ClientConnection>& client, EvictionReason reason) {
  // `client` may refer into a list from which it is erased meanwhile, so the copy is needed.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const std::shared_ptr<ClientConnection> kept_alive = client;
  counters_.add(counter_of(reason));
  kept_alive->close_later();
  kept_alive->flush();
}

bool ClientTable::empty() const {
  return std::all_of(lists_.begin(), lists_.end(), [](const ClientList& clients) { return clients.empty(); });
}

bool ClientTable::all_delivered() const {
  const ClientList& established = list(ClientStage::established);
  return std::none_of(established.begin(), established.end(), [](const auto& client) {
    return client->delivery() == ClientConnection::Delivery::pending;
  });
}

std::vector<std::shared_ptr<ClientConnection>> ClientTable::connections(ClientStage stage) const {
  const ClientList& of_stage = list(stage);
  return {of_stage.begin(), of_stage.end()};
}

}  // namespace lotusyard::resp
