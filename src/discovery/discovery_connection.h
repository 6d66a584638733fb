// One connection of the discovery stream.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "discovery/line_splitter.h"
#include "net/arrival_clock.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"

namespace lotusyard::discovery {

// Subscribes to the events after the last known one, passes their lines on, and closes itself if the stream
// is silent or malformed.
class DiscoveryConnection final : public net::BufferedConnection {
 public:
  // The interface of the subscriber for its connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Whether the owner still uses this connection. If not, what arrives is ignored.
    virtual bool is_current(const DiscoveryConnection& connection) const = 0;
    virtual std::uint64_t last_sequence() const = 0;
    virtual void on_connected() = 0;
    // Returns the time-out to use where a healthy service responds within `base`.
    virtual net::Millis extended_timeout(net::Millis base) const = 0;
    // The line has arrived at `earliest_arrival` or later. Returns false if it is malformed or does not
    // follow the previous one.
    virtual bool on_line(const std::string& line, net::Millis earliest_arrival) = 0;
    // The connection closes because of a line that is malformed, too long or out of sequence.
    virtual void on_stream_error() = 0;
    // The connection closes because it was not established in time, or no line has arrived for too long.
    virtual void on_silence() = 0;
    // Called once. The connection must be kept until the end of the iteration.
    virtual void on_closed(DiscoveryConnection& connection) = 0;
  };

  DiscoveryConnection(net::EventLoop& loop, net::BufferPool& pool, net::Socket socket, Owner& owner);
  ~DiscoveryConnection() override;

 private:
  Owner& owner_;
  LineSplitter splitter_;
  net::ArrivalClock arrivals_;
  net::EventLoop::TimerId silence_timer_{};

  void on_connected() override;
  void on_received(std::string_view bytes) override;
  void on_closed() override;
  void restart_silence_timer(net::Millis timeout);
  bool read_lines(std::string_view bytes);
};

}  // namespace lotusyard::discovery
