#include "discovery/discovery_connection.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lotusyard::discovery {
namespace {

constexpr net::Millis kConnectTimeout{500};
constexpr net::Millis kSilenceTimeout{1600};  // a line arrives every second

}  // namespace

DiscoveryConnection::DiscoveryConnection(net::EventLoop& loop, net::BufferPool& pool, net::Socket socket,
                                         Owner& owner)
    : BufferedConnection(loop, pool, std::move(socket), true),
      owner_(owner),
      arrivals_(loop.now(), loop.now()) {
  restart_silence_timer(kConnectTimeout);
}

DiscoveryConnection::~DiscoveryConnection() { loop().cancel(silence_timer_); }

void DiscoveryConnection::restart_silence_timer(net::Millis timeout) {
  loop().cancel(silence_timer_);
  silence_timer_ = loop().schedule_at(loop().now() + owner_.extended_timeout(timeout), [this] {
    owner_.on_silence();
    close_later();
  });
}

void DiscoveryConnection::on_connected() {
  owner_.on_connected();
  write("since " + std::to_string(owner_.last_sequence()) + "\n");
  restart_silence_timer(kSilenceTimeout);
}

void DiscoveryConnection::on_received(std::string_view bytes) {
  if (!owner_.is_current(*this) || read_lines(bytes))
    return;
  owner_.on_stream_error();
  close_later();  // the next connection subscribes after the last event that was read
}

// Returns false if the stream is malformed.
bool DiscoveryConnection::read_lines(std::string_view bytes) {
  // A line may have waited while this process was stopped, and its sender may have disconnected since.
  const net::Millis earliest_arrival = arrivals_.earliest_arrival(loop());
  if (bytes.size() < net::BufferPool::kBlockSize)
    arrivals_.mark_all_read();
  std::vector<std::string> lines;
  const bool is_split = splitter_.parse(bytes, lines);
  // Only complete lines count: a stream that stops within an event, or sends single bytes, is treated as
  // silent.
  if (!lines.empty())
    restart_silence_timer(kSilenceTimeout);
  const auto is_accepted = [&](const std::string& line) { return owner_.on_line(line, earliest_arrival); };
  return std::all_of(lines.begin(), lines.end(), is_accepted) && is_split;
}

void DiscoveryConnection::on_closed() {
  loop().cancel(silence_timer_);
  owner_.on_closed(*this);
}

}  // namespace lotusyard::discovery
