// Connects that fail for a reason local to this machine must be retried and not count against the hosts.
#include "support/resp_fixture.h"
#include "support/system_call_faults.h"

namespace lotusyard::test {
namespace {

int count_execs(const RespFixture& service) {
  int total = 0;
  for (const auto& host : service.invoker.host)
    total += host->execs;
  return total;
}

std::unique_ptr<Client> connect_client(RespFixture& service) {
  auto client = std::make_unique<Client>(service.invoker, service.front_end.address());
  REQUIRE(service.invoker.run_until(
      [&] { return client->is_open() && service.invoker.counters.value("resp.connections") > 0; }));
  return client;
}

void run_for(RespFixture& service, Millis span) {
  const Millis end = service.invoker.loop.now() + span;
  service.invoker.run_until([&] { return service.invoker.loop.now() >= end; });
}

std::uint16_t port_of(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

TEST_CASE("a connect that fails for a local reason is retried within the call's time", "[system-calls]") {
  const int error = GENERATE(EADDRNOTAVAIL, EAGAIN, ENOBUFS, ENETUNREACH);
  // The connect fails immediately, or later with a pending socket error.
  const bool fails_later = GENERATE(false, true);
  RespFixture service(3);
  const auto client = connect_client(service);
  {
    SystemCallFaults faults;
    faults.fail(fails_later ? SystemCall::pending_error : SystemCall::connect, {error});
    client->call("1", "bin-record", "patient");
    run_for(service, Millis(300));
    CHECK(client->answers.empty());
    CHECK(faults.calls(SystemCall::connect) < 60);
  }
  const resp::Words* answer = client->answer("1");
  REQUIRE(answer != nullptr);
  CHECK((*answer)[1] == "OK");
  CHECK(count_execs(service) == 1);
  CHECK(service.invoker.counters.value("net.connect.local_resource") > 0);
}

TEST_CASE("a connect that fails for a local reason counts against no host", "[system-calls]") {
  const SystemCall call = GENERATE(SystemCall::connect, SystemCall::pending_error);
  RespFixture service(1);  // if this one were ejected, there would be no other
  const auto client = connect_client(service);
  {
    SystemCallFaults faults;
    faults.fail(call, {EADDRNOTAVAIL});
    for (int i = 0; i < 8; ++i)
      client->call(std::to_string(i + 1), "bin-check", "b" + std::to_string(i + 1));
    run_for(service, Millis(200));
  }
  const Millis recovered_at = service.invoker.loop.now();
  for (int i = 0; i < 8; ++i) {
    const resp::Words* answer = client->answer(std::to_string(i + 1));
    REQUIRE(answer != nullptr);
    CHECK((*answer)[1] == "OK");
  }
  CHECK(service.invoker.loop.now() - recovered_at < Millis(200));
  CHECK(service.invoker.counters.value("hosts.connect_failed") == 0);
}

TEST_CASE("while no connections can be made, calls use the open ones", "[system-calls]") {
  RespFixture service(3);
  const auto client = connect_client(service);
  client->call("1000", "bin-check", "first");
  REQUIRE(client->answer("1000") != nullptr);  // one host has a connection from now on
  SystemCallFaults faults;
  faults.fail(SystemCall::connect, {EADDRNOTAVAIL});
  for (int i = 0; i < 60; ++i) {
    const Millis started_at = service.invoker.loop.now();
    client->call(std::to_string(i + 1), i % 2 == 0 ? "bin-check" : "bin-record", "b" + std::to_string(i + 1));
    const resp::Words* answer = client->answer(std::to_string(i + 1));
    REQUIRE(answer != nullptr);
    CHECK((*answer)[1] == "OK");
    CHECK((service.invoker.loop.now() - started_at).count() < 60);
    run_for(service, Millis(5));
  }
  CHECK(service.invoker.counters.value("hosts.waits_for_connection") <
        25);  // open connections are used for most calls
}

TEST_CASE("a call that waits for a connection is not sent once it is cancelled or its host drains",
          "[system-calls]") {
  const bool cancels = GENERATE(true, false);
  RespFixture service(1);
  const auto client = connect_client(service);
  {
    SystemCallFaults faults;
    faults.fail(SystemCall::connect, {EADDRNOTAVAIL});
    client->call("1", "bin-check", "gone");
    run_for(service, Millis(50));
    if (cancels)
      client->send({"CANCEL", "1"});
    if (!cancels)
      service.invoker.update_hosts(lotusyard::policy::HostState::draining);
    run_for(service, Millis(50));
  }
  run_for(service, Millis(300));
  CHECK(count_execs(service) == 0);
  CHECK(service.invoker.host[0]->server.peers.empty());
}

TEST_CASE("a call for which no connection is made in time is answered and never sent", "[system-calls]") {
  RespFixture service(2);
  const auto client = connect_client(service);
  SystemCallFaults faults;
  faults.fail(SystemCall::connect, {EADDRNOTAVAIL});
  const Millis started_at = service.invoker.loop.now();
  client->call("1", "bin-record", "late", 300);
  const resp::Words* answer = client->answer("1");
  REQUIRE(answer != nullptr);
  CHECK((*answer)[1] != "OK");
  CHECK(service.invoker.loop.now() - started_at < Millis(330));
  CHECK(count_execs(service) == 0);
}

TEST_CASE("a refused connection still counts against its host", "[system-calls]") {
  RespFixture service(2);
  const auto client = connect_client(service);
  SystemCallFaults faults;
  faults.fail_connects_only_to(port_of(service.invoker.host[0]->server.address()));
  faults.fail(SystemCall::connect, {ECONNREFUSED});
  for (int i = 0; i < 20; ++i) {
    client->call(std::to_string(i + 1), "bin-check", "b" + std::to_string(i + 1));
    const resp::Words* answer = client->answer(std::to_string(i + 1));
    REQUIRE(answer != nullptr);
    CHECK((*answer)[1] == "OK");
  }
  CHECK(service.invoker.host[1]->execs == 20);
  CHECK(service.invoker.counters.value("net.connect.refused") > 0);
  CHECK(faults.calls(SystemCall::connect) < 12);  // once ejected, it is not connected to for each call
}

}  // namespace
}  // namespace lotusyard::test
