// Every listener pauses while accept(2) lacks resources, does not spin, and resumes by itself.
#include "admin/admin_endpoint.h"
#include "control/control_cluster.h"
#include "raft/peer_transport.h"
#include "support/resp_fixture.h"
#include "support/system_call_faults.h"

namespace lotusyard::test {
namespace {

struct NoOperations final : admin::AdminOperations {
  bool ready() const override { return true; }
  admin::OperationResult disable(const std::string&) override { return admin::OperationResult::done; }
  admin::OperationResult enable(const std::string&) override { return admin::OperationResult::done; }
};

// Makes accept fail for 300 ms; returns how often it was called.
template <typename RunOnce>
int accepts_while_failing(const net::EventLoop& loop, int error, const RunOnce& run_once) {
  SystemCallFaults faults;
  faults.fail(SystemCall::accept, {error});
  const Millis end = loop.now() + Millis(300);
  while (loop.now() < end)
    run_once();
  return faults.calls(SystemCall::accept);
}
bool is_few(int accepts) { return accepts > 0 && accepts < 20; }

TEST_CASE("a listener that lacks what accept needs pauses and resumes", "[system-calls]") {
  const int error = GENERATE(EMFILE, ENFILE, ENOBUFS, ENOMEM);
  INFO("error " << error);
  SECTION("the RESP front end") {
    RespFixture fixture(1);
    Client client(fixture.invoker, fixture.front_end.address());
    client.call("1", "bin-check", "x");
    CHECK(is_few(accepts_while_failing(fixture.invoker.loop, error, [&] { fixture.invoker.run_once(); })));
    CHECK(client.answer("1") != nullptr);
  }
  SECTION("the admin endpoint") {
    InvokerFixture fixture(0);
    NoOperations operations;
    admin::AdminEndpoint endpoint(fixture.loop, fixture.counters, operations, 4);
    REQUIRE(endpoint.listen("127.0.0.1:0"));
    const net::Socket caller = net::connect_to(endpoint.address()).socket;
    CHECK(is_few(accepts_while_failing(fixture.loop, error, [&] { fixture.run_once(); })));
    CHECK(fixture.run_until([&] { return fixture.counters.value("console.connections") == 1; }, 1000));
  }
  SECTION("the peer transport of a raft group") {
    InvokerFixture fixture(0);
    raft::PeerTransport links(
        fixture.loop, fixture.counters, {}, [](const auto&, auto&&) {}, [](const auto&) {});
    REQUIRE(links.listen("127.0.0.1:0"));
    const net::Socket caller = net::connect_to(links.address()).socket;
    CHECK(is_few(accepts_while_failing(fixture.loop, error, [&] { fixture.run_once(); })));
    REQUIRE(::send(caller.fd(), "garbage that is no frame", 24, MSG_NOSIGNAL) == 24);
    const auto closed = [&] { return net::peek_peer(caller) == net::PeerState::disconnected; };
    CHECK(fixture.run_until(closed, 1000));  // accepted, read and closed
  }
  SECTION("a control node's server") {
    ControlCluster tier;
    auto& server = tier.add_node();
    const net::Socket caller = net::connect_to(server.address()).socket;
    CHECK(is_few(accepts_while_failing(tier.loop, error, [&] { tier.run_once(); })));
    CHECK(tier.run_until([&] { return server.connection_count() == 1; }, Millis(1000)));
  }
}

TEST_CASE("lost connections do not delay the healthy one behind them", "[system-calls]") {
  const int error = GENERATE(ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH);
  RespFixture fixture(1);
  Client client(fixture.invoker, fixture.front_end.address());
  SystemCallFaults faults;
  faults.fail(SystemCall::accept, {error}, 1, 5);
  for (int i = 0; i < 2 && fixture.invoker.counters.value("resp.connections") == 0; ++i)
    fixture.invoker.run_once();
  CHECK(fixture.invoker.counters.value("resp.connections") == 1);
  CHECK(fixture.invoker.counters.value("net.accept.connection_lost") == 5);
}

}  // namespace
}  // namespace lotusyard::test
