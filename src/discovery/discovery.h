// Subscribes to the discovery stream: every event after the last known one, once and in order.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/listed_host.h"
#include "discovery/discovery_connection.h"
#include "discovery/event_reader.h"
#include "metrics/counters.h"
#include "net/event_loop.h"

namespace lotusyard::discovery {

// Reconnects with backoff whenever a connection breaks, is silent or sends malformed data. Loop, pool and
// counters must outlive it.
class Discovery final : private DiscoveryConnection::Owner {
 public:
  using UpdateHandler = std::function<void(const core::HostListUpdate&)>;
  // Called with a time before which everything that was published is known.
  using ConfirmationHandler = std::function<void(core::Millis)>;

  // `reader` continues after the events that are known at the start.
  Discovery(
      net::EventLoop& loop, net::BufferPool& pool, metrics::Counters& counters, std::string address,
      EventReader reader, UpdateHandler on_update, ConfirmationHandler on_confirmed = [](core::Millis) {});
  ~Discovery() override;
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  void start() { connect(); }
  std::uint64_t last_sequence() const override { return reader_.last_sequence(); }

  // The stream continues at another address, with the same sequence numbers.
  void move(const std::string& address);

 private:
  net::EventLoop& loop_;
  net::BufferPool& pool_;
  metrics::Counters& counters_;
  std::string address_;
  EventReader reader_;
  UpdateHandler on_update_;
  ConfirmationHandler on_confirmed_;
  std::shared_ptr<DiscoveryConnection> connection_;
  net::EventLoop::TimerId reconnect_timer_{};
  core::Millis backoff_{0};
  int silent_connections_ = 0;  // in a row

  bool is_current(const DiscoveryConnection& connection) const override;
  void on_connected() override;
  net::Millis extended_timeout(net::Millis base) const override;
  bool on_line(const std::string& line, net::Millis earliest_arrival) override;
  void on_stream_error() override;
  void on_silence() override;
  void on_closed(DiscoveryConnection& connection) override;

  void connect();
  void schedule_reconnect();
};

}  // namespace lotusyard::discovery
