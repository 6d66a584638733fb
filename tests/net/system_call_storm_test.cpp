// Every part that owns sockets at work while system calls fail at random, and while no read or write moves
// more than one byte.
#include "admin/admin_endpoint.h"
#include "control/tier.h"
#include "discovery/discovery.h"
#include "support/platform.h"
#include "support/system_call_faults.h"
#include "support/triggers.h"

namespace lotusyard::test {
namespace {

constexpr int kSeeds = 6;

// What the calls are made to suffer.
struct Weather {
  const char* name;
  double failing = 0, cut = 0;
  std::size_t longest = SIZE_MAX;
  void begin(SystemCallFaults& faults) const {
    faults.fail_all(failing);
    faults.cut_transfers(cut);
    faults.transfer_at_most(longest);
  }
};
const Weather kWeathers[] = {{"1 in 100 fails", 0.01, 0.05, SIZE_MAX},
                             {"6 in 100 fail", 0.06, 0.2, SIZE_MAX},
                             {"one byte at a time", 0, 0, 1}};

template <typename Run>
void in_each_weather(const Run& run) {
  for (const Weather& weather : kWeathers) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      INFO(weather.name << ", seed " << seed);
      SystemCallFaults faults(seed);
      run(seed, [&] { weather.begin(faults); });  // once everything that listens stands
    }
  }
}

// A caller whose own connect did not fail at once.
template <typename Make>
auto made(const Make& make) {
  auto stream = make();
  while (!stream->is_connecting())
    stream = make();
  return stream;
}

TEST_CASE("front and hosts: each call is served once with its body", "[system-calls][storm]") {
  in_each_weather([](std::uint64_t, const auto& begin) {
    Platform p(3);
    begin();
    const auto connected = made([&] { return std::make_unique<Client>(p.world, p.front.address()); });
    Client& client = *connected;
    int served = 0;
    for (int i = 0; i < 40; ++i) {
      const std::string tag = std::to_string(i + 1), body = "body of " + tag + std::string(i * 20, 'x');
      client.call(tag, i % 2 == 0 ? "bin-check" : "bin-record", body);
      const resp::Words* answer = client.answer(tag);
      REQUIRE(answer != nullptr);
      if ((*answer)[1] != "OK")
        continue;
      ++served;
      CHECK(answer->back() == body);
    }
    CHECK(served == 40);
    for (const auto& host : p.world.host) {
      for (const auto& [body, runs] : host->runs)
        CHECK(runs == 1);
    }
  });
}

TEST_CASE("AMQP: each delivery is answered, its body unchanged", "[system-calls][storm]") {
  in_each_weather([](std::uint64_t seed, const auto& begin) {
    Triggers t(3, seed);
    begin();
    for (int i = 0; i < 20; ++i)
      t.broker.send(std::to_string(i), "bin-check", "body " + std::to_string(i));
    for (int i = 0; i < 20; ++i) {
      REQUIRE(t.answered(std::to_string(i)));
      const auto& answer = t.broker.held["c-" + std::to_string(i)].front();
      CHECK(word_of(answer) == "OK");
      CHECK(answer.body == "body " + std::to_string(i));
    }
    CHECK(t.settled());
  });
}

// Tells its events whenever it is asked.
struct WholeLog {
  class Peer final : public net::BufferedConnection {
   public:
    Peer(WholeLog& log, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), log_(log) {}

   private:
    WholeLog& log_;
    discovery::LineCutter cutter_;
    void on_received(std::string_view bytes) override {
      std::vector<std::string> lines;
      REQUIRE(cutter_.parse(bytes, lines));
      for (const auto& line : lines)
        tell(std::stoull(line.substr(6)));
    }
    void tell(std::size_t since) {
      for (std::size_t i = since + 1; i <= 20; ++i) {
        const std::string number = std::to_string(i);
        write(R"({"seq":)" + number + R"(,"fleet":{"complete":false,"members":[{"id":"s)" + number +
              R"(","host_port":"127.0.0.1:9","phase":"ready"}]}})" + "\n");
      }
      write("20\n");
    }
    void on_closed() override { log_.server.gone(*this); }
  };
  WholeLog(net::EventLoop& loop, net::BufferPool& pool) : server(loop, pool, *this) {}
  Server<Peer, WholeLog> server;
};

TEST_CASE("discovery: each event is told once, in order", "[system-calls][storm]") {
  in_each_weather([](std::uint64_t, const auto& begin) {
    net::EventLoop loop;
    net::BufferPool pool(64);
    metrics::Counters counters;
    WholeLog log(loop, pool);
    std::vector<std::string> told;
    const auto keep = [&](const core::HostListUpdate& list) {
      for (const auto& member : list.hosts)
        told.push_back(member.entry.host);
    };
    discovery::Discovery discovery(loop, pool, counters, log.server.address(), discovery::Log(0), keep);
    begin();
    discovery.start();
    for (int i = 0; i < 20000 && told.size() < 20; ++i)
      loop.run_once(loop.now() + Millis(20), [] {});
    REQUIRE(told.size() == 20);
    for (std::size_t i = 0; i < 20; ++i)
      CHECK(told[i] == "s" + std::to_string(i + 1));
  });
}

struct AlwaysReady final : admin::AdminOperations {
  bool ready() const override { return true; }
  admin::OperationResult disable(const std::string&) override { return admin::OperationResult::done; }
  admin::OperationResult enable(const std::string&) override { return admin::OperationResult::done; }
};

class AdminCaller final : public net::BufferedConnection {
 public:
  AdminCaller(InvokerFixture& world, const std::string& address)
      : BufferedConnection(world.loop, world.pool, net::connect_to(address).socket, true) {
    write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  std::string got;
  bool closed = false;

 private:
  void on_connected() override { loop().flush_later(*this); }
  void on_received(std::string_view bytes) override { got += bytes; }
  void on_closed() override { closed = true; }
};

TEST_CASE("admin endpoint: each call gets its whole answer", "[system-calls][storm]") {
  in_each_weather([](std::uint64_t, const auto& begin) {
    InvokerFixture world(0);
    AlwaysReady operations;
    admin::AdminEndpoint endpoint(world.loop, world.counters, operations, 4);
    REQUIRE(endpoint.listen("127.0.0.1:0"));
    begin();
    for (int i = 0; i < 20; ++i) {
      const auto connected = made([&] { return std::make_unique<AdminCaller>(world, endpoint.address()); });
      AdminCaller& caller = *connected;
      REQUIRE(world.run_until([&] { return caller.closed; }, 5000));
      CHECK(caller.got.compare(0, 12, "HTTP/1.1 200") == 0);
      CHECK(caller.got.find("ready") != std::string::npos);
    }
  });
}

TEST_CASE("control sessions: every change arrives, and sessions open for ever new connections",
          "[system-calls][storm]") {
  in_each_weather([](std::uint64_t, const auto& begin) {
    Tier tier;
    tier.add_node();
    for (int i = 0; i < 2; ++i)
      tier.add_invoker();
    begin();
    for (int i = 0; i < 30; ++i) {
      tier.change("key" + std::to_string(i % 7), std::string(50, 'v') + std::to_string(i));
      tier.turn();
    }
    CHECK(tier.until([&] { return tier.all_up_to_date(); }));
  });
}

}  // namespace
}  // namespace lotusyard::test
