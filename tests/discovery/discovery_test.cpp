// The change log over connections that break.
#include "discovery/discovery.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "support/loopback_server.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

// Answers `since N` with the later events, cut anywhere; breaks off after a random part, or stops there and
// stays open.
struct StandInLog {
  class Peer final : public net::BufferedConnection {
   public:
    Peer(StandInLog& log, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), log_(log) {}

   private:
    StandInLog& log_;
    discovery::LineCutter cutter_;
    void on_received(std::string_view bytes) override {
      std::vector<std::string> lines;
      REQUIRE(cutter_.parse(bytes, lines));
      for (const auto& line : lines) {
        REQUIRE(line.compare(0, 6, "since ") == 0);
        log_.asked.push_back(std::stoull(line.substr(6)));
        std::string text;
        for (std::size_t i = log_.asked.back(); i < log_.events; ++i) {
          text += R"({"seq":)" + std::to_string(i + 1) + R"(,"fleet":{"complete":false,"members":[{"id":"s)" +
                  std::to_string(i + 1) + R"(","host_port":"127.0.0.1:9","phase":"ready"}]}})" + "\n";
        }
        text += std::to_string(log_.events) + "\n";
        write(text.substr(0, below(log_.random, text.size() + 1)));
        flush_now();
        if (!log_.stays_open)
          close_later();
      }
    }
    void on_closed() override { log_.server.gone(*this); }
  };
  StandInLog(net::EventLoop& loop, net::BufferPool& pool) : server(loop, pool, *this) {}
  Random random{6};
  Server<Peer, StandInLog> server;
  std::size_t events = 20;
  std::vector<std::uint64_t> asked;
  bool stays_open = false;
};

TEST_CASE("a change log that breaks off anywhere is taken up again; each event is told once, in order") {
  net::EventLoop loop;
  net::BufferPool pool(64);
  metrics::Counters counters;
  StandInLog log(loop, pool);
  std::vector<std::string> told, all;
  for (int i = 4; i <= 20; ++i)
    all.push_back("s" + std::to_string(i));
  discovery::Discovery discovery(loop, pool, counters, log.server.address(), discovery::Log(3),
                                 [&](const core::HostListUpdate& list) {
                                   for (const auto& m : list.hosts)
                                     told.push_back(m.entry.host);
                                 });
  discovery.start();
  for (int i = 0; i < 5000 && told.size() < all.size(); ++i)
    loop.run_once(loop.now() + Millis(20), [] {});
  CHECK(told == all);
  CHECK(log.asked.size() > 1);
  CHECK(log.asked.front() == 3);
  CHECK(std::is_sorted(log.asked.begin(), log.asked.end()));
}

TEST_CASE("a change log that moves is asked at its new address at once; the old one is left") {
  net::EventLoop loop;
  net::BufferPool pool(64);
  metrics::Counters counters;
  StandInLog old(loop, pool), next(loop, pool);
  old.events = 3;
  old.stays_open = true;
  std::vector<std::string> told;
  discovery::Discovery discovery(
      loop, pool, counters, old.server.address(), discovery::Log(3),
      [&](const core::HostListUpdate& list) { told.push_back(list.hosts.at(0).entry.host); });
  const auto run_until = [&](const auto& until) {
    for (int i = 0; i < 5000 && !until(); ++i)
      loop.run_once(loop.now() + Millis(20), [] {});
    return until();
  };
  discovery.start();
  REQUIRE(run_until([&] { return old.asked.size() == 1; }));
  discovery.move(next.server.address());
  REQUIRE(run_until([&] { return told.size() == 17; }));
  CHECK(told.front() == "s4");
  CHECK(next.asked.front() == 3);
  CHECK(run_until([&] { return old.server.peers.empty(); }));
  CHECK(old.asked.size() == 1);
  CHECK(counters.value("feed.moves") == 1);
}

TEST_CASE("a change log that stops half-way through an event and stays open is asked again") {
  net::EventLoop loop;
  net::BufferPool pool(64);
  metrics::Counters counters;
  StandInLog log(loop, pool);
  log.events = 1;
  log.stays_open = true;
  std::size_t told = 0;
  discovery::Discovery discovery(loop, pool, counters, log.server.address(), discovery::Log(0),
                                 [&](const core::HostListUpdate&) { ++told; });
  discovery.start();
  Millis next = loop.now();
  for (int i = 0; i < 5000 && log.asked.size() < 2; ++i) {
    loop.run_once(loop.now() + Millis(20), [] {});
    if (loop.now() < next)
      continue;
    next = loop.now() + Millis(20);
    for (const auto& peer : log.server.peers)
      peer->write("x");  // it trickles on, but no line ends
  }
  CHECK(log.asked.size() == 2);
  CHECK(log.asked.back() == told);
}

}  // namespace
}  // namespace lotusyard::test
