// Runs every component that owns sockets while system calls fail at random, and while each read or write
// transfers one byte.
#include "admin/admin_endpoint.h"
#include "control/control_cluster.h"
#include "discovery/discovery.h"
#include "support/amqp_fixture.h"
#include "support/resp_fixture.h"
#include "support/system_call_faults.h"

namespace lotusyard::test {
namespace {

constexpr int kSeeds = 6;

// How the system calls misbehave.
struct FaultProfile {
  const char* name;
  double failing = 0, cut = 0;
  std::size_t max_transfer = SIZE_MAX;
  void apply_to(SystemCallFaults& faults) const {
    faults.fail_all(failing);
    faults.shorten_transfers(cut);
    faults.transfer_at_most(max_transfer);
  }
};
const FaultProfile kFaultProfiles[] = {{"1 in 100 fails", 0.01, 0.05, SIZE_MAX},
                                       {"6 in 100 fail", 0.06, 0.2, SIZE_MAX},
                                       {"one byte at a time", 0, 0, 1}};

template <typename Run>
void with_each_profile(const Run& run) {
  for (const FaultProfile& profile : kFaultProfiles) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      INFO(profile.name << ", seed " << seed);
      SystemCallFaults faults(seed);
      run(seed, [&] { profile.apply_to(faults); });  // called once all listeners are open
    }
  }
}

// A client whose own connect did not fail at once.
template <typename Make>
auto make_connecting(const Make& make) {
  auto connection = make();
  while (!connection->is_connecting())
    connection = make();
  return connection;
}

TEST_CASE("front end and hosts: each call runs once with its body", "[system-calls][storm]") {
  with_each_profile([](std::uint64_t, const auto& begin) {
    RespFixture fixture(3);
    begin();
    const auto connected = make_connecting(
        [&] { return std::make_unique<Client>(fixture.invoker, fixture.front_end.address()); });
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
    for (const auto& host : fixture.invoker.host) {
      for (const auto& [body, runs] : host->runs)
        CHECK(runs == 1);
    }
  });
}

TEST_CASE("AMQP: each delivery is answered, its body unchanged", "[system-calls][storm]") {
  with_each_profile([](std::uint64_t seed, const auto& begin) {
    AmqpFixture t(3, seed);
    begin();
    for (int i = 0; i < 20; ++i)
      t.broker.send(std::to_string(i), "bin-check", "body " + std::to_string(i));
    for (int i = 0; i < 20; ++i) {
      REQUIRE(t.wait_for_answer(std::to_string(i)));
      const auto& answer = t.broker.answers_by_id["c-" + std::to_string(i)].front();
      CHECK(result_word(answer) == "OK");
      CHECK(answer.body == "body " + std::to_string(i));
    }
    CHECK(t.wait_until_settled());
  });
}

// Sends all its events to each subscriber.
struct DiscoveryServer {
  class Peer final : public net::BufferedConnection {
   public:
    Peer(DiscoveryServer& log, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), log_(log) {}

   private:
    DiscoveryServer& log_;
    discovery::LineSplitter splitter_;
    void on_received(std::string_view bytes) override {
      std::vector<std::string> lines;
      REQUIRE(splitter_.parse(bytes, lines));
      for (const auto& line : lines)
        send_events(std::stoull(line.substr(6)));
    }
    void send_events(std::size_t since) {
      for (std::size_t i = since + 1; i <= 20; ++i) {
        const std::string number = std::to_string(i);
        write(R"({"seq":)" + number + R"(,"fleet":{"complete":false,"members":[{"id":"s)" + number +
              R"(","host_port":"127.0.0.1:9","phase":"ready"}]}})" + "\n");
      }
      write("20\n");
    }
    void on_closed() override { log_.server.remove(*this); }
  };
  DiscoveryServer(net::EventLoop& loop, net::BufferPool& pool) : server(loop, pool, *this) {}
  LoopbackServer<Peer, DiscoveryServer> server;
};

TEST_CASE("discovery: each event arrives once, in order", "[system-calls][storm]") {
  with_each_profile([](std::uint64_t, const auto& begin) {
    net::EventLoop loop;
    net::BufferPool pool(64);
    metrics::Counters counters;
    DiscoveryServer log(loop, pool);
    std::vector<std::string> hosts;
    const auto on_update = [&](const core::HostListUpdate& list) {
      for (const auto& member : list.hosts)
        hosts.push_back(member.entry.host);
    };
    discovery::Discovery discovery(loop, pool, counters, log.server.address(), discovery::EventReader(0),
                                   on_update);
    begin();
    discovery.start();
    for (int i = 0; i < 20000 && hosts.size() < 20; ++i)
      loop.run_once(loop.now() + Millis(20), [] {});
    REQUIRE(hosts.size() == 20);
    for (std::size_t i = 0; i < 20; ++i)
      CHECK(hosts[i] == "s" + std::to_string(i + 1));
  });
}

struct AlwaysReady final : admin::AdminOperations {
  bool ready() const override { return true; }
  admin::OperationResult disable(const std::string&) override { return admin::OperationResult::done; }
  admin::OperationResult enable(const std::string&) override { return admin::OperationResult::done; }
};

class AdminClient final : public net::BufferedConnection {
 public:
  AdminClient(InvokerFixture& fixture, const std::string& address)
      : BufferedConnection(fixture.loop, fixture.pool, net::connect_to(address).socket, true) {
    write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  std::string received;
  bool closed = false;

 private:
  void on_connected() override { loop().flush_later(*this); }
  void on_received(std::string_view bytes) override { received += bytes; }
  void on_closed() override { closed = true; }
};

TEST_CASE("admin endpoint: each request gets its complete response", "[system-calls][storm]") {
  with_each_profile([](std::uint64_t, const auto& begin) {
    InvokerFixture fixture(0);
    AlwaysReady operations;
    admin::AdminEndpoint endpoint(fixture.loop, fixture.counters, operations, 4);
    REQUIRE(endpoint.listen("127.0.0.1:0"));
    begin();
    for (int i = 0; i < 20; ++i) {
      const auto connected =
          make_connecting([&] { return std::make_unique<AdminClient>(fixture, endpoint.address()); });
      AdminClient& client = *connected;
      REQUIRE(fixture.run_until([&] { return client.closed; }, 5000));
      CHECK(client.received.compare(0, 12, "HTTP/1.1 200") == 0);
      CHECK(client.received.find("ready") != std::string::npos);
    }
  });
}

TEST_CASE("control sessions: every change arrives, and sessions are opened over ever new connections",
          "[system-calls][storm]") {
  with_each_profile([](std::uint64_t, const auto& begin) {
    ControlCluster tier;
    tier.add_node();
    for (int i = 0; i < 2; ++i)
      tier.add_invoker();
    begin();
    for (int i = 0; i < 30; ++i) {
      tier.change("key" + std::to_string(i % 7), std::string(50, 'v') + std::to_string(i));
      tier.run_once();
    }
    CHECK(tier.run_until([&] { return tier.all_up_to_date(); }));
  });
}

}  // namespace
}  // namespace lotusyard::test
