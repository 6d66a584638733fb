#include "discovery/discovery.h"

#include <algorithm>
#include <utility>

#include "metrics/host_counters.h"

namespace lotusyard::discovery {
namespace {

// Short, because an invoker is expected to know an event 7 s after its publication, whether it arrived or
// not.
constexpr core::Millis kMinBackoff{50};
constexpr core::Millis kMaxBackoff{500};
// The time-outs double with each silent connection in a row, up to this many times.
constexpr int kMaxTimeoutDoublings = 3;

}  // namespace

Discovery::Discovery(net::EventLoop& loop, net::BufferPool& pool, metrics::Counters& counters,
                     std::string address, EventReader reader, UpdateHandler on_update,
                     ConfirmationHandler on_confirmed)
    : loop_(loop),
      pool_(pool),
      counters_(counters),
      address_(std::move(address)),
      reader_(reader),
      on_update_(std::move(on_update)),
      on_confirmed_(std::move(on_confirmed)) {}

Discovery::~Discovery() { loop_.cancel(reconnect_timer_); }

void Discovery::connect() {
  net::ConnectResult result = net::connect_to(address_);
  net::count_connect_error(loop_, result);
  if (!result)
    return schedule_reconnect();
  DiscoveryConnection::Owner& owner = *this;
  connection_ = std::make_shared<DiscoveryConnection>(loop_, pool_, std::move(result.socket), owner);
}

// The old address sends no more events, but stays open for a while and appears healthy. The new one is
// connected to at once, because its events are expected to be known soon.
void Discovery::move(const std::string& address) {
  if (address == address_)
    return;
  counters_.add(metrics::kFeedMoves);
  address_ = address;
  const std::shared_ptr<DiscoveryConnection> old = std::move(connection_);
  connection_.reset();
  if (old) {
    old->close_later();
    loop_.delete_later(old);
  }
  loop_.cancel(reconnect_timer_);
  backoff_ = core::Millis(0);
  silent_connections_ = 0;
  connect();
}

void Discovery::schedule_reconnect() {
  if (connection_)
    loop_.delete_later(std::move(connection_));
  connection_.reset();
  loop_.cancel(reconnect_timer_);
  const core::Millis when = loop_.now() + std::max(backoff_, kMinBackoff);
  reconnect_timer_ = loop_.schedule_at(when, [this] { connect(); });
  backoff_ = std::min(std::max(backoff_ * 2, kMinBackoff), kMaxBackoff);
}

bool Discovery::is_current(const DiscoveryConnection& connection) const {
  return connection_.get() == &connection;
}

void Discovery::on_connected() { counters_.add(metrics::kFeedConnections); }

// With a constant time-out, a service that answers late would be sent a new request before each of its
// answers.
net::Millis Discovery::extended_timeout(net::Millis base) const {
  return base * (1 << std::min(silent_connections_, kMaxTimeoutDoublings));
}

bool Discovery::on_line(const std::string& line, net::Millis earliest_arrival) {
  core::HostListUpdate update;
  const EventReader::Result result = reader_.read_line(line, update);
  if (result == EventReader::Result::gap || result == EventReader::Result::malformed)
    return false;
  backoff_ = core::Millis(0);
  silent_connections_ = 0;
  if (result == EventReader::Result::heartbeat) {
    counters_.add(metrics::kFeedConfirmations);
    on_confirmed_(earliest_arrival);
  }
  if (result == EventReader::Result::list_update) {
    counters_.add(metrics::kFeedEvents);
    on_update_(update);
  }
  return true;
}

void Discovery::on_stream_error() { counters_.add(metrics::kFeedMalformedOrGap); }

void Discovery::on_silence() {
  counters_.add(metrics::kFeedQuiet);
  ++silent_connections_;
}

void Discovery::on_closed(DiscoveryConnection& connection) {
  if (is_current(connection))
    schedule_reconnect();
}

}  // namespace lotusyard::discovery
