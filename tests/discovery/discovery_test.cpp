// The discovery stream over connections that break, move, fall silent or send heartbeats.
#include "discovery/discovery.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "support/loopback_server.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

// Responds to `since N` with a random part of the later events, then closes the connection or leaves it open.
struct DiscoveryServer {
  class Peer final : public net::BufferedConnection {
   public:
    Peer(DiscoveryServer& server, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), server_(server) {}

   private:
    DiscoveryServer& server_;
    discovery::LineSplitter splitter_;
    void on_received(std::string_view bytes) override {
      std::vector<std::string> lines;
      REQUIRE(splitter_.parse(bytes, lines));
      for (const auto& line : lines) {
        REQUIRE(line.compare(0, 6, "since ") == 0);
        server_.requests.push_back(std::stoull(line.substr(6)));
        std::string text;
        for (std::size_t i = server_.requests.back(); i < server_.events; ++i) {
          text += R"({"seq":)" + std::to_string(i + 1) + R"(,"fleet":{"complete":false,"members":[{"id":"s)" +
                  std::to_string(i + 1) + R"(","host_port":"127.0.0.1:9","phase":"ready"}]}})" + "\n";
        }
        text += std::to_string(server_.events) + "\n";
        write(text.substr(0, below(server_.random, text.size() + 1)));
        flush_now();
        if (!server_.stays_open)
          close_later();
      }
    }
    void on_closed() override { server_.listener.remove(*this); }
  };
  DiscoveryServer(net::EventLoop& loop, net::BufferPool& pool) : listener(loop, pool, *this) {}
  Random random{6};
  LoopbackServer<Peer, DiscoveryServer> listener;
  std::size_t events = 20;
  std::vector<std::uint64_t> requests;  // the number N of each
  bool stays_open = false;
};

TEST_CASE("a stream that breaks off anywhere is resumed; each event arrives once, in order") {
  net::EventLoop loop;
  net::BufferPool pool(64);
  metrics::Counters counters;
  DiscoveryServer server(loop, pool);
  std::vector<std::string> received, all;
  for (int i = 4; i <= 20; ++i)
    all.push_back("s" + std::to_string(i));
  discovery::Discovery discovery(loop, pool, counters, server.listener.address(), discovery::EventReader(3),
                                 [&](const core::HostListUpdate& list) {
                                   for (const auto& host : list.hosts)
                                     received.push_back(host.entry.host);
                                 });
  discovery.start();
  for (int i = 0; i < 5000 && received.size() < all.size(); ++i)
    loop.run_once(loop.now() + Millis(20), [] {});
  CHECK(received == all);
  CHECK(server.requests.size() > 1);
  CHECK(server.requests.front() == 3);
  CHECK(std::is_sorted(server.requests.begin(), server.requests.end()));
}

TEST_CASE("a stream that moves is continued at its new address at once; the old one is closed") {
  net::EventLoop loop;
  net::BufferPool pool(64);
  metrics::Counters counters;
  DiscoveryServer old_server(loop, pool), new_server(loop, pool);
  old_server.events = 3;
  old_server.stays_open = true;
  std::vector<std::string> received;
  discovery::Discovery discovery(
      loop, pool, counters, old_server.listener.address(), discovery::EventReader(3),
      [&](const core::HostListUpdate& list) { received.push_back(list.hosts.at(0).entry.host); });
  const auto run_until = [&](const auto& until) {
    for (int i = 0; i < 5000 && !until(); ++i)
      loop.run_once(loop.now() + Millis(20), [] {});
    return until();
  };
  discovery.start();
  REQUIRE(run_until([&] { return old_server.requests.size() == 1; }));
  discovery.move(new_server.listener.address());
  REQUIRE(run_until([&] { return received.size() == 17; }));
  CHECK(received.front() == "s4");
  CHECK(new_server.requests.front() == 3);
  CHECK(run_until([&] { return old_server.listener.peers.empty(); }));
  CHECK(old_server.requests.size() == 1);
  CHECK(counters.value("feed.moves") == 1);
}

TEST_CASE("a stream that stops within an event and stays open is requested again") {
  net::EventLoop loop;
  net::BufferPool pool(64);
  metrics::Counters counters;
  DiscoveryServer server(loop, pool);
  server.events = 1;
  server.stays_open = true;
  std::size_t updates = 0;
  discovery::Discovery discovery(loop, pool, counters, server.listener.address(), discovery::EventReader(0),
                                 [&](const core::HostListUpdate&) { ++updates; });
  discovery.start();
  Millis next_write = loop.now();
  for (int i = 0; i < 5000 && server.requests.size() < 2; ++i) {
    loop.run_once(loop.now() + Millis(20), [] {});
    if (loop.now() < next_write)
      continue;
    next_write = loop.now() + Millis(20);
    for (const auto& peer : server.listener.peers)
      peer->write("x");  // bytes arrive, but no line ends
  }
  CHECK(server.requests.size() == 2);
  CHECK(server.requests.back() == updates);
}

// Answers each subscription with `line` after `delay`.
struct HeartbeatServer {
  class Peer final : public net::BufferedConnection {
   public:
    Peer(HeartbeatServer& server, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), server_(server) {}
    ~Peer() override { loop().cancel(timer_); }

   private:
    HeartbeatServer& server_;
    net::EventLoop::TimerId timer_{};
    void on_received(std::string_view) override {
      ++server_.subscriptions;
      timer_ = loop().schedule_at(loop().now() + server_.delay, [this] { write(server_.line); });
    }
    void on_closed() override {
      loop().cancel(timer_);
      server_.listener.remove(*this);
    }
  };
  HeartbeatServer(net::EventLoop& loop, net::BufferPool& pool) : listener(loop, pool, *this) {}
  LoopbackServer<Peer, HeartbeatServer> listener;
  std::string line;
  Millis delay{0};
  int subscriptions = 0;
};

struct DiscoveryFixture {
  net::EventLoop loop;
  net::BufferPool pool{64};
  metrics::Counters counters;
  HeartbeatServer server{loop, pool};
  std::vector<Millis> confirmed;
  discovery::Discovery discovery{loop,
                                 pool,
                                 counters,
                                 server.listener.address(),
                                 discovery::EventReader(40),
                                 [](const core::HostListUpdate&) {},
                                 [this](Millis at) { confirmed.push_back(at); }};
  void run_for(Millis duration) {
    const Millis end = loop.now() + duration;
    while (loop.now() < end)
      loop.run_once(loop.now() + Millis(20), [] {});
  }
};

TEST_CASE("a heartbeat with the last number confirms the list, in both of its forms; no other line does") {
  const auto confirmations = [](const std::string& line) {
    DiscoveryFixture fixture;
    fixture.server.line = line;
    fixture.discovery.start();
    fixture.run_for(Millis(100));
    return fixture.confirmed.size();
  };
  CHECK(confirmations("40\n") == 1);
  CHECK(confirmations("{\"seq\":40}\n") == 1);
  CHECK(confirmations("39\n") == 0);
  CHECK(confirmations("{\"seq\":41}\n") == 0);  // event 41 is missing
  CHECK(confirmations("41\n") == 0);
  CHECK(confirmations("{\"seq\":41,\"fleet\":{\"members\":[]}}\n") == 0);  // event 42 may be published
  CHECK(confirmations("40") == 0);
}

TEST_CASE("a heartbeat that has waited confirms only what was published before it may have arrived") {
  DiscoveryFixture fixture;
  fixture.server.line = "40\n";
  fixture.discovery.start();
  while (fixture.server.subscriptions == 0)
    fixture.run_for(Millis(5));
  const Millis before = fixture.loop.now();
  // The iteration that reads it comes late, as after SIGSTOP.
  fixture.loop.run_once(fixture.loop.now(),
                        [] { std::this_thread::sleep_for(std::chrono::milliseconds(300)); });
  fixture.run_for(Millis(50));
  REQUIRE(fixture.confirmed.size() == 1);
  CHECK(fixture.confirmed[0] < before + Millis(150));
}

// Guards against a constant time-out of 1.6 s, with which every subscription to such a service was given up.
TEST_CASE("time-outs grow until a service that always answers late is waited for") {
  DiscoveryFixture fixture;
  fixture.server.line = "40\n";
  fixture.server.delay = Millis(2500);
  fixture.discovery.start();
  fixture.run_for(Millis(6500));
  CHECK(fixture.confirmed.size() >= 1);
}

}  // namespace
}  // namespace lotusyard::test
