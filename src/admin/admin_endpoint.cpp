#include "admin/admin_endpoint.h"

#include <algorithm>
#include <utility>

#include "metrics/client_counters.h"

namespace lotusyard::admin {
namespace {

constexpr std::size_t kMaxAcceptsPerIteration = 16;
constexpr net::Millis kAcceptRetryInterval{50};  // while this machine lacks what accept(2) needs

}  // namespace

AdminEndpoint::AdminEndpoint(net::EventLoop& loop, metrics::Counters& counters, AdminOperations& operations,
                             std::size_t max_connections)
    : loop_(loop),
      counters_(counters),
      router_(counters, operations),
      max_connections_(max_connections),
      pool_(max_connections + 1) {}

AdminEndpoint::~AdminEndpoint() {
  loop_.cancel(accept_timer_);
  if (listener_)
    loop_.unregister(listener_.fd(), *this);
}

bool AdminEndpoint::listen(const std::string& address) {
  listener_ = net::listen_on(address);
  if (listener_)
    resume_accepting();
  return static_cast<bool>(listener_);
}

void AdminEndpoint::resume_accepting() {
  loop_.register_handler(listener_.fd(), *this, POLLIN, net::EventLoop::Priority::urgent);
}

// A listener that stays readable would make the loop spin.
void AdminEndpoint::pause_accepting() {
  counters_.add(metrics::kConsoleNoDescriptor);
  loop_.unregister(listener_.fd(), *this);
  accept_timer_ = loop_.schedule_at(loop_.now() + kAcceptRetryInterval, [this] { resume_accepting(); });
}

void AdminEndpoint::ready(short) {
  for (std::size_t i = 0; i < kMaxAcceptsPerIteration; ++i) {
    net::AcceptResult accepted = net::accept_from(listener_);
    net::count_accept_errors(loop_, accepted);
    if (accepted.status == net::AcceptStatus::out_of_resources)
      pause_accepting();
    if (!accepted.socket)
      return;
    add_connection(std::move(accepted.socket));
    if (connections_.size() > max_connections_)
      evict_connection();
  }
}

void AdminEndpoint::add_connection(net::Socket socket) {
  counters_.add(metrics::kConsoleConnections);
  AdminConnection::Owner& owner = *this;
  const auto connection = std::make_shared<AdminConnection>(loop_, pool_, std::move(socket), owner);
  connections_.push_back(connection);
  // The request has mostly arrived already. A connection that is served now is not evicted for lack of
  // capacity.
  connection->ready(POLLIN);
}

// Connections with incomplete requests must not keep complete ones out. Evicts the oldest connection,
// preferably one that has its response.
void AdminEndpoint::evict_connection() {
  const auto has_responded = [](const auto& connection) { return connection->has_responded(); };
  const auto responded = std::find_if(connections_.begin(), connections_.end(), has_responded);
  const auto evicted = responded != connections_.end() ? *responded : connections_.front();
  evicted->reject(HttpStatus::request_timeout, "others wait");
  evicted->close_later();
  evicted->flush();
}

void AdminEndpoint::on_request(AdminConnection& connection, const Request& request) {
  connection.respond(router_.handle(request));
}

void AdminEndpoint::on_rejected(HttpStatus status) {
  counters_.add(metrics::kConsoleFaulty, to_string(status));
}

void AdminEndpoint::on_closed(AdminConnection& connection) {
  const auto is_connection = [&connection](const auto& other) { return other.get() == &connection; };
  const auto found = std::find_if(connections_.begin(), connections_.end(), is_connection);
  loop_.delete_later(*found);
  connections_.erase(found);
}

}  // namespace lotusyard::admin
