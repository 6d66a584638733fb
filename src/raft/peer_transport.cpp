#include "raft/peer_transport.h"

#include <algorithm>
#include <vector>

#include "metrics/cluster_counters.h"
#include "raft/peer_connections.h"

namespace lotusyard::raft {
namespace {

using policy::Millis;

constexpr Millis kAcceptRetryDelay{100};
constexpr Millis kReconnectDelay{100};
constexpr std::size_t kBufferBlocks = 1024;  // of 16 KB each, for all connections
constexpr std::size_t kMaxLoggedLines = 64;

// One connection for each id that an address has had: what is sent to one id must not reach its successor.
std::string connection_key(std::uint64_t to, const std::string& address) {
  return address + '/' + std::to_string(to);
}

}  // namespace

PeerTransport::PeerTransport(net::EventLoop& loop, metrics::Counters& counters, Hello own_hello,
                             Receive receive, LogSink log)
    : loop_(loop),
      counters_(counters),
      own_hello_(std::move(own_hello)),
      receive_(std::move(receive)),
      log_(std::move(log)),
      pool_(kBufferBlocks) {}

PeerTransport::~PeerTransport() { close(); }

void PeerTransport::close() {
  loop_.cancel(accept_timer_);
  if (listener_) {
    loop_.unregister(listener_.fd(), *this);
  }
  listener_.close();
  outgoing_.clear();
  incoming_.clear();
}

bool PeerTransport::listen(const std::string& address) {
  listener_ = net::listen_on(address);
  if (listener_) {
    watch_listener();
  }
  return static_cast<bool>(listener_);
}

void PeerTransport::watch_listener() {
  loop_.register_handler(listener_.fd(), *this, POLLIN, net::EventLoop::Priority::urgent);
}

// The listener stays readable while its connections cannot be accepted; the loop would spin if it kept
// watching it.
void PeerTransport::pause_accepting() {
  counters_.add(metrics::kGroupNoDescriptor);
  loop_.unregister(listener_.fd(), *this);
  accept_timer_ = loop_.schedule_at(loop_.now() + kAcceptRetryDelay, [this] { watch_listener(); });
}

void PeerTransport::ready(short) {
  for (;;) {
    net::AcceptResult accepted = net::accept_from(listener_);
    net::count_accept_errors(loop_, accepted);
    if (accepted.status == net::AcceptStatus::out_of_resources) {
      pause_accepting();
      return;
    }
    if (!accepted.socket) {
      return;
    }
    if (incoming_.size() >= kMaxIncoming) {
      counters_.add(metrics::kGroupTooManyLinks);
      continue;
    }
    incoming_.push_back(std::make_shared<IncomingConnection>(*this, std::move(accepted.socket)));
    incoming_.back()->position = std::prev(incoming_.end());
  }
}

const char* PeerTransport::rejection_reason(const Hello& hello) const {
  const Hello& own = own_hello_;
  if (hello.version != own.version) {
    return "another version of the protocol";
  }
  if (hello.cluster != own.cluster) {
    return "another group";
  }
  const bool ids_known = hello.to != 0 && own.from != 0;
  if (ids_known && hello.to != own.from) {
    return "this is another member than the one meant";
  }
  if (hello.from != 0 && hello.from == own.from) {
    return "this member's own id";
  }
  if (hello.lease != own.lease || hello.drift != own.drift || hello.last_call != own.last_call) {
    return "another lease, drift or longest limit of a call";
  }
  return nullptr;
}

void PeerTransport::set_own_id(std::uint64_t id) {
  own_hello_.from = id;
  for (auto& [key, connection] : outgoing_) {
    connection->close_later();
  }
}

void PeerTransport::on_outgoing_closed(const OutgoingConnection& connection) {
  counters_.add(metrics::kGroupLinksEnded);
  reconnect_not_before_[connection.key()] = loop_.now() + kReconnectDelay;
  const auto found = outgoing_.find(connection.key());
  if (found == outgoing_.end() || found->second.get() != &connection) {
    return;
  }
  loop_.delete_later(found->second);
  outgoing_.erase(found);
}

void PeerTransport::on_incoming_closed(IncomingConnection& connection) {
  loop_.delete_later(*connection.position);
  incoming_.erase(connection.position);
}

void PeerTransport::log_once(const std::string& line) {
  if (logged_lines_.size() < kMaxLoggedLines && logged_lines_.insert(line).second) {
    log_(line);
  }
}

PeerTransport::OutgoingConnection* PeerTransport::find_or_connect(std::uint64_t to,
                                                                  const std::string& address) {
  const auto found = outgoing_.find(connection_key(to, address));
  if (found == outgoing_.end()) {
    return connect(to, address);
  }
  return found->second->is_closing() ? nullptr : found->second.get();
}

PeerTransport::OutgoingConnection* PeerTransport::connect(std::uint64_t to, const std::string& address) {
  const std::string key = connection_key(to, address);
  const auto not_before = reconnect_not_before_.find(key);
  if (not_before != reconnect_not_before_.end() && loop_.now() < not_before->second) {
    return nullptr;
  }
  net::ConnectResult result = net::connect_to(address);
  net::count_connect_error(loop_, result);
  if (!result) {
    return nullptr;
  }
  counters_.add(metrics::kGroupLinksOpened);
  reconnect_not_before_.erase(key);
  const auto connection = std::make_shared<OutgoingConnection>(*this, key, std::move(result.socket));
  outgoing_.emplace(key, connection);
  Hello hello = own_hello_;
  hello.to = to;
  connection->write(encode_frame(Frame::Kind::hello, encode_hello(hello)));
  return connection.get();
}

bool PeerTransport::send(std::uint64_t to, const std::string& address, Frame::Kind kind,
                         const std::string& body) {
  if (body.size() > kMaxFrameBytes) {
    counters_.add(metrics::kGroupTooLong);
    return false;
  }
  OutgoingConnection* connection = find_or_connect(to, address);
  if (connection == nullptr) {
    return false;
  }
  if (connection->is_unacknowledged()) {
    counters_.add(metrics::kGroupUnheardLinks);
    connection->close_later();
    return false;
  }
  const auto& queue = connection->send_queue();
  if (queue.appended() - queue.written() > kMaxUnsentBytes) {
    counters_.add(metrics::kGroupLeftOut);
    return false;
  }
  connection->write(encode_frame(kind, body));
  counters_.add(metrics::kGroupSent);
  return !connection->is_closing();
}

}  // namespace lotusyard::raft
