#include "discovery/discovery.h"

#include <algorithm>

#include "config/json_read.h"
#include "metrics/host_counters.h"

namespace lotusyard::discovery {
namespace {

using config::key;
using config::number;
using config::text;
using core::HostState;
using core::Millis;

constexpr Millis kConnectMost{500};
constexpr Millis kQuietMost{1600};  // a line comes every second: a log quiet for longer has stopped
constexpr Millis kPauseFirst{50}, kPauseMost{500};  // events count as told after 7 s whether they came or not

core::ListedHost read_member(const nlohmann::json& row) {
  core::ListedHost read;
  read.entry.host = text(key(row, "id"));
  read.address = text(key(row, "host_port"));
  read.entry.zone = text(key(row, "locality"));
  read.entry.kind = text(key(row, "flavor"));
  read.entry.cell = config::whole(key(row, "cell"));
  read.entry.weight = number(key(row, "size"), 1);
  read.entry.started = Millis(number(key(row, "up_since_ms")));
  const std::string state = text(key(row, "phase"));
  // An unknown state is taken as one in which nothing new may go there.
  read.entry.state = state == "ready"  ? HostState::ready
                     : state == "gone" ? HostState::gone
                                       : HostState::draining;
  return read;
}

}  // namespace

bool LineCutter::parse(std::string_view bytes, std::vector<std::string>& out) {
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() > longest)
      return false;
    if (end == std::string_view::npos)
      break;
    bytes.remove_prefix(end + 1);
    if (!line_.empty() && line_.back() == '\r')
      line_.pop_back();
    if (!line_.empty())
      out.push_back(std::move(line_));
    line_.clear();
  }
  return true;
}

Log::Read Log::line(const std::string& line, core::HostListUpdate& out) {
  const auto read = nlohmann::json::parse(line, nullptr, false);
  if (read.is_number_unsigned())
    return read.get<std::uint64_t>() > last_ ? Read::gap : Read::nothing;
  return event(read, out);
}

Log::Read Log::event(const nlohmann::json& event, core::HostListUpdate& out) {
  if (!key(event, "seq").is_number_unsigned())
    return Read::malformed;
  const std::uint64_t seq = config::large(key(event, "seq"));
  if (seq <= last_)
    return Read::nothing;
  if (seq != last_ + 1)
    return Read::gap;
  const auto& list = key(event, "fleet");
  last_ = seq;
  if (!list.is_object())
    return Read::nothing;  // a kind of event that is none of ours
  out.complete = config::flag(key(list, "complete"));
  out.hosts.clear();
  for (const auto& row : key(list, "members")) {
    auto member = read_member(row);
    if (!member.entry.host.empty())
      out.hosts.push_back(std::move(member));
  }
  return Read::news;
}

class Discovery::Connection final : public net::BufferedConnection {
 public:
  Connection(Discovery& discovery, net::Socket socket)
      : BufferedConnection(discovery.loop_, discovery.pool_, std::move(socket), true), discovery_(discovery) {
    expect(kConnectMost);
  }
  ~Connection() override { discovery_.loop_.cancel(quiet_); }

 private:
  Discovery& discovery_;
  LineCutter cutter_;
  net::EventLoop::TimerId quiet_{};

  void expect(Millis within) {
    discovery_.loop_.cancel(quiet_);
    quiet_ = discovery_.loop_.schedule_at(discovery_.loop_.now() + within, [this] {
      discovery_.counters_.add(metrics::kFeedQuiet);
      close_later();
    });
  }
  void on_connected() override {
    discovery_.counters_.add(metrics::kFeedConnections);
    write("since " + std::to_string(discovery_.log_.last()) + "\n");
    expect(kQuietMost);
  }
  void on_received(std::string_view bytes) override {
    if (!current())
      return;
    std::vector<std::string> lines;
    bool sound = cutter_.parse(bytes, lines);
    // A log that stops half-way through an event, or trickles, is as silent as one that says nothing.
    if (!lines.empty())
      expect(kQuietMost);
    for (const auto& line : lines) {
      core::HostListUpdate list;
      const auto read = discovery_.log_.line(line, list);
      if (read == Log::Read::news || read == Log::Read::nothing)
        discovery_.pause_ = Millis(0);
      if (read == Log::Read::news) {
        discovery_.counters_.add(metrics::kFeedEvents);
        discovery_.told_(list);
      } else if (read != Log::Read::nothing) {
        sound = false;  // ask again from the last event that was understood
        break;
      }
    }
    if (sound)
      return;
    discovery_.counters_.add(metrics::kFeedMalformedOrGap);
    close_later();
  }
  void on_closed() override {
    discovery_.loop_.cancel(quiet_);
    if (current())
      discovery_.again();
  }
  bool current() const { return discovery_.connection_.get() == this; }  // false: the log has moved on
};

Discovery::Discovery(net::EventLoop& loop, net::BufferPool& pool, metrics::Counters& counters,
                     std::string address, Log log, Told told)
    : loop_(loop),
      pool_(pool),
      counters_(counters),
      address_(std::move(address)),
      log_(log),
      told_(std::move(told)) {}

Discovery::~Discovery() { loop_.cancel(timer_); }

void Discovery::connect() {
  net::ConnectResult connection = net::connect_to(address_);
  net::count_connect_error(loop_, connection);
  if (!connection)
    return again();
  connection_ = std::make_shared<Connection>(*this, std::move(connection.socket));
}

// The old address tells nothing more but stays open a while, and looks well. The new one is asked at
// once: what it has to tell counts as told before long.
void Discovery::move(const std::string& address) {
  if (address == address_)
    return;
  counters_.add(metrics::kFeedMoves);
  address_ = address;
  const std::shared_ptr<Connection> old = std::move(connection_);
  connection_.reset();
  if (old) {
    old->close_later();
    loop_.delete_later(old);
  }
  loop_.cancel(timer_);
  pause_ = Millis(0);
  connect();
}

void Discovery::again() {
  if (connection_)
    loop_.delete_later(std::move(connection_));
  connection_.reset();
  loop_.cancel(timer_);
  timer_ = loop_.schedule_at(loop_.now() + std::max(pause_, kPauseFirst), [this] { connect(); });
  pause_ = std::min(std::max(pause_ * 2, kPauseFirst), kPauseMost);
}

}  // namespace lotusyard::discovery
