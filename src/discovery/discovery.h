// The change log: what was known at the start, then every later event once, in order, over connections that
// are made again as often as they break.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/listed_host.h"
#include "metrics/counters.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"

namespace lotusyard::discovery {

// Lines in whatever pieces they come; false once a line is longer than any event may be.
class LineCutter {
 public:
  static constexpr std::size_t longest = 1U << 20;
  bool parse(std::string_view bytes, std::vector<std::string>& out);

 private:
  std::string line_;
};

// Reads events and keeps their numbers: repeats are passed over, a gap is told.
class Log {
 public:
  enum class Read { news, nothing, gap, malformed };
  explicit Log(std::uint64_t last = 0) : last_(last) {}
  Read line(const std::string& line, core::HostListUpdate& out);
  Read event(const nlohmann::json& event, core::HostListUpdate& out);
  std::uint64_t last() const { return last_; }
  void skip_to(std::uint64_t seq) { last_ = std::max(last_, seq); }

 private:
  std::uint64_t last_;
};

class Discovery {
 public:
  using Told = std::function<void(const core::HostListUpdate&)>;
  Discovery(net::EventLoop& loop, net::BufferPool& pool, metrics::Counters& counters, std::string address,
            Log log, Told told);
  ~Discovery();
  void start() { connect(); }
  // The log goes on at another address, under the same numbers.
  void move(const std::string& address);

 private:
  class Connection;
  net::EventLoop& loop_;
  net::BufferPool& pool_;
  metrics::Counters& counters_;
  std::string address_;
  Log log_;
  Told told_;
  std::shared_ptr<Connection> connection_;
  net::EventLoop::TimerId timer_{};
  core::Millis pause_{0};

  void connect();
  void again();
};

}  // namespace lotusyard::discovery
