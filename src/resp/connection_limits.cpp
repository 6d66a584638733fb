// Who may connect and stay: places, newcomers, and what happens when there are too many.
#include <algorithm>

#include "metrics/client_counters.h"
#include "resp/client_connection.h"

namespace lotusyard::resp {
namespace {

constexpr std::size_t kAcceptsATurn = 64;
constexpr core::Millis kPause{50};  // with no descriptor to be had

}  // namespace

void FrontEnd::evict(const std::shared_ptr<ClientConnection>& client, const metrics::Counter& why) {
  const std::shared_ptr<ClientConnection> kept = client;
  counters_.add(why);
  kept->close_later();
  kept->flush();
}

// A whole request has come: the connection takes a place among the clients, of the one longest unheard with
// no call open if need be. False if there is none: then it ends, with nothing sent on for it.
bool FrontEnd::promote(ClientConnection& client) {
  clients_.splice(clients_.end(), list_of(client), client.place);
  const bool had_place = std::exchange(client.asked, true);
  if (clients_.size() <= limits_.clients)
    return true;
  const auto self = std::prev(clients_.end());
  // A request that has come and was not read yet would be lost with its connection.
  const auto idle = [](const auto& c) { return c->idle() && c->peer_state() != net::PeerState::readable; };
  const auto at_rest = [&](const auto& c) { return c->at_rest() && idle(c); };  // not half-way through one
  auto spared = std::find_if(clients_.begin(), self, at_rest);
  if (spared == self)
    spared = std::find_if(clients_.begin(), self, idle);
  if (spared != self) {
    evict(*spared, metrics::kRespIdleClosed);
    return true;
  }
  // Limits shrink while another process stands beside this one. Calls that are open on a connection
  // which had its place are owed their answers.
  if (had_place)
    return true;
  counters_.add(metrics::kRespNoPlace);
  return false;
}

FrontEnd::Clients& FrontEnd::list_of(const ClientConnection& client) {
  return client.asked ? clients_ : client.pieces > 0 ? partial_request_ : idle_without_request_;
}

void FrontEnd::heard(ClientConnection& client) {
  partial_request_.splice(partial_request_.end(), list_of(client), client.place);
  ++client.pieces;
}

// Connections by thousands that say nothing, or stop half-way through a request. Of the larger crowd
// the one longest unheard goes, unless its request has come by now; those that send a request piece by piece
// go last.
void FrontEnd::bound_new_connections() {
  if (idle_without_request_.size() + partial_request_.size() <= limits_.new_connections)
    return;
  Clients& candidates =
      idle_without_request_.size() >= partial_request_.size() ? idle_without_request_ : partial_request_;
  const auto stopped =
      std::find_if(candidates.begin(), candidates.end(), [](const auto& c) { return c->pieces < 2; });
  const std::shared_ptr<ClientConnection> oldest =
      stopped != candidates.end() ? *stopped : candidates.front();
  oldest->ready(POLLIN);
  if (!oldest->asked && !oldest->is_closing())
    evict(oldest, metrics::kRespSilentClosed);
}

void FrontEnd::ready(short) { accept_some(); }

// False if nobody waits any more.
bool FrontEnd::accept_some() {
  for (std::size_t i = 0; i < kAcceptsATurn; ++i) {
    net::AcceptResult accepted = net::accept_from(listener_);
    net::count_accept_errors(loop_, accepted);
    // Also where none can be taken: what waits in the queue has waited since then, not for ever.
    const core::Millis earliest_arrival = connects_.earliest_arrival(loop_);
    if (accepted.status == net::AcceptStatus::out_of_resources) {
      counters_.add(metrics::kRespNoDescriptor);
      pause_listening();
      return false;
    }
    if (!accepted.socket) {
      connects_.all_read();
      return false;
    }
    counters_.add(metrics::kRespConnections);
    idle_without_request_.push_back(
        std::make_shared<ClientConnection>(*this, std::move(accepted.socket), earliest_arrival));
    idle_without_request_.back()->place = std::prev(idle_without_request_.end());
    bound_new_connections();
  }
  return true;
}

// A listener that stays readable would spin the loop. It is looked at again once a client has gone,
// and before long in any case: it may be others that held the descriptors.
void FrontEnd::pause_listening() {
  paused_ = true;
  connects_.unwatched();
  loop_.unregister(listener_.fd(), *this);
  loop_.cancel(resume_);
  resume_ = loop_.schedule_at(loop_.now() + kPause, [this] { resume_listening(); });
}

void FrontEnd::resume_listening() {
  loop_.cancel(resume_);
  if (std::exchange(paused_, false) && listener_)
    loop_.register_handler(listener_.fd(), *this, POLLIN);
}

}  // namespace lotusyard::resp
