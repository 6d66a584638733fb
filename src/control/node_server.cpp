#include "control/node_server.h"

#include <utility>

#include "metrics/control_counters.h"

namespace lotusyard::control {
namespace {

constexpr Millis kTickInterval{1000};
constexpr Millis kCheckInterval{250};  // of looking for connections that are silent or stalled
constexpr Millis kAcceptPause{100};    // when the process has no descriptor left

NodeServer::Limits with_silence_timeout(NodeServer::Limits limits, const raft::LeaseTerms& terms) {
  limits.connection.silence_timeout = terms.lease * limits.silence_in_leases;
  return limits;
}

}  // namespace

NodeServer::NodeServer(net::EventLoop& loop, metrics::Counters& counters, ControlNode::Config config,
                       Limits limits)
    : loop_(loop),
      counters_(counters),
      limits_(with_silence_timeout(limits, config.terms)),
      max_connections_(config.sessions.max_sessions + limits.spare_connections),
      pool_(limits.max_pooled_bytes / net::BufferPool::kBlockSize),
      node_(std::move(config), *this, counters, loop.now()) {
  check_timeouts();
  tick();
}

NodeServer::~NodeServer() {
  for (const auto& timer : {accept_timer_, check_timer_, refill_timer_, tick_timer_})
    loop_.cancel(timer);
  if (listener_)
    loop_.unregister(listener_.fd(), *this);
}

bool NodeServer::listen(const std::string& address) {
  listener_ = net::listen_on(address);
  if (listener_)
    watch_listener();
  return static_cast<bool>(listener_);
}

void NodeServer::watch_listener() { loop_.register_handler(listener_.fd(), *this, POLLIN); }

void NodeServer::ready(short /*events*/) {
  net::AcceptStatus status = net::AcceptStatus::accepted;
  while (status == net::AcceptStatus::accepted) {
    net::AcceptResult accepted = net::accept_from(listener_);
    net::count_accept_errors(loop_, accepted);
    status = accepted.status;
    if (accepted.socket)
      accept(std::move(accepted.socket));
  }
  if (status == net::AcceptStatus::out_of_resources)
    pause_accepting();
}

void NodeServer::accept(net::Socket socket) {
  if (connections_.size() >= max_connections_) {
    counters_.add(metrics::kControlTooManyLinks);
    return;
  }
  const ConnectionId id = ++last_id_;
  ServerConnection::Owner& owner = *this;
  connections_.emplace(id, std::make_shared<ServerConnection>(owner, id, loop_, pool_, std::move(socket),
                                                              limits_.connection, counters_));
  node_.on_connected(id);
}

// The listener remains readable while its connections cannot be accepted: the loop would spin if it were
// watched.
void NodeServer::pause_accepting() {
  counters_.add(metrics::kControlNoDescriptor);
  loop_.unregister(listener_.fd(), *this);
  accept_timer_ = loop_.schedule_at(loop_.now() + kAcceptPause, [this] { watch_listener(); });
}

void NodeServer::check_timeouts() {
  const Millis now = loop_.now();
  for (const auto& [id, connection] : connections_)
    connection->check_timeouts(now);
  check_timer_ = loop_.schedule_at(now + kCheckInterval, [this] { check_timeouts(); });
}

void NodeServer::tick() {
  const Millis now = loop_.now();
  node_.tick(now);
  tick_timer_ = loop_.schedule_at(now + kTickInterval, [this] { tick(); });
}

// In the next iteration of the loop: a peer that reads as fast as this node writes must not delay the others.
void NodeServer::refill_later(ConnectionId id) {
  if (refills_.empty())
    refill_timer_ = loop_.schedule_at(loop_.now(), [this] { refill(); });
  refills_.push_back(id);
}

void NodeServer::refill() {
  for (const ConnectionId id : std::exchange(refills_, {})) {
    if (ServerConnection* connection = find(id))
      connection->refill();
  }
}

ServerConnection* NodeServer::find(ConnectionId id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

void NodeServer::send(ConnectionId id, const std::string& frame) {
  if (ServerConnection* connection = find(id))
    connection->send(frame);
}

bool NodeServer::has_room(ConnectionId id) const {
  ServerConnection* connection = find(id);
  return connection != nullptr && connection->has_room();
}

void NodeServer::close(ConnectionId id) {
  if (ServerConnection* connection = find(id))
    connection->finish();
}

void NodeServer::on_message(ConnectionId id, Message&& message, Millis now) {
  node_.on_message(id, std::move(message), now);
}

void NodeServer::on_closed(ConnectionId id, bool by_owner) {
  if (!by_owner)
    node_.on_disconnected(id);
  const auto found = connections_.find(id);
  loop_.delete_later(found->second);
  connections_.erase(found);
}

}  // namespace lotusyard::control
