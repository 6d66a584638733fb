// Connects that fail for a reason local to this machine must be retried and not count against the hosts.
#include "support/platform.h"
#include "support/system_call_faults.h"

namespace lotusyard::test {
namespace {

int count_execs(const Platform& platform) {
  int total = 0;
  for (const auto& host : platform.world.host)
    total += host->execs;
  return total;
}

std::unique_ptr<Client> connect_client(Platform& platform) {
  auto client = std::make_unique<Client>(platform.world, platform.front.address());
  REQUIRE(platform.world.run_until(
      [&] { return client->is_open() && platform.world.counters.value("resp.connections") > 0; }));
  return client;
}

void run_for(Platform& platform, Millis span) {
  const Millis end = platform.world.loop.now() + span;
  platform.world.run_until([&] { return platform.world.loop.now() >= end; });
}

std::uint16_t port_of(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

TEST_CASE("a connect that fails for a local reason is retried within the call's time", "[system-calls]") {
  const int error = GENERATE(EADDRNOTAVAIL, EAGAIN, ENOBUFS, ENETUNREACH);
  // The connect fails immediately, or later with a pending socket error.
  const bool fails_later = GENERATE(false, true);
  Platform platform(3);
  const auto client = connect_client(platform);
  {
    SystemCallFaults faults;
    faults.fail(fails_later ? SystemCall::pending_error : SystemCall::connect, {error});
    client->call("1", "bin-record", "patient");
    run_for(platform, Millis(300));
    CHECK(client->got.empty());
    CHECK(faults.calls(SystemCall::connect) < 60);
  }
  const resp::Words* answer = client->answer("1");
  REQUIRE(answer != nullptr);
  CHECK((*answer)[1] == "OK");
  CHECK(count_execs(platform) == 1);
  CHECK(platform.world.counters.value("net.connect.local_resource") > 0);
}

TEST_CASE("a connect that fails for a local reason counts against no host", "[system-calls]") {
  const SystemCall call = GENERATE(SystemCall::connect, SystemCall::pending_error);
  Platform platform(1);  // if this one were ejected, there would be no other
  const auto client = connect_client(platform);
  {
    SystemCallFaults faults;
    faults.fail(call, {EADDRNOTAVAIL});
    for (int i = 0; i < 8; ++i)
      client->call(std::to_string(i + 1), "bin-check", "b" + std::to_string(i + 1));
    run_for(platform, Millis(200));
  }
  const Millis recovered_at = platform.world.loop.now();
  for (int i = 0; i < 8; ++i) {
    const resp::Words* answer = client->answer(std::to_string(i + 1));
    REQUIRE(answer != nullptr);
    CHECK((*answer)[1] == "OK");
  }
  CHECK(platform.world.loop.now() - recovered_at < Millis(200));
  CHECK(platform.world.counters.value("hosts.connect_failed") == 0);
}

TEST_CASE("while no connections can be made, calls use the open ones", "[system-calls]") {
  Platform platform(3);
  const auto client = connect_client(platform);
  client->call("1000", "bin-check", "first");
  REQUIRE(client->answer("1000") != nullptr);  // one host has a connection from now on
  SystemCallFaults faults;
  faults.fail(SystemCall::connect, {EADDRNOTAVAIL});
  for (int i = 0; i < 60; ++i) {
    const Millis started_at = platform.world.loop.now();
    client->call(std::to_string(i + 1), i % 2 == 0 ? "bin-check" : "bin-record", "b" + std::to_string(i + 1));
    const resp::Words* answer = client->answer(std::to_string(i + 1));
    REQUIRE(answer != nullptr);
    CHECK((*answer)[1] == "OK");
    CHECK((platform.world.loop.now() - started_at).count() < 60);
    run_for(platform, Millis(5));
  }
  CHECK(platform.world.counters.value("hosts.waits_for_connection") <
        25);  // open connections are used for most calls
}

TEST_CASE("a call that waits for a connection is not sent once it is cancelled or its host drains",
          "[system-calls]") {
  const bool cancels = GENERATE(true, false);
  Platform platform(1);
  const auto client = connect_client(platform);
  {
    SystemCallFaults faults;
    faults.fail(SystemCall::connect, {EADDRNOTAVAIL});
    client->call("1", "bin-check", "gone");
    run_for(platform, Millis(50));
    if (cancels)
      client->say({"CANCEL", "1"});
    if (!cancels)
      platform.world.tell(lotusyard::policy::HostState::draining);
    run_for(platform, Millis(50));
  }
  run_for(platform, Millis(300));
  CHECK(count_execs(platform) == 0);
  CHECK(platform.world.host[0]->server.peers.empty());
}

TEST_CASE("a call for which no connection is made in time is answered and never sent", "[system-calls]") {
  Platform platform(2);
  const auto client = connect_client(platform);
  SystemCallFaults faults;
  faults.fail(SystemCall::connect, {EADDRNOTAVAIL});
  const Millis started_at = platform.world.loop.now();
  client->call("1", "bin-record", "late", 300);
  const resp::Words* answer = client->answer("1");
  REQUIRE(answer != nullptr);
  CHECK((*answer)[1] != "OK");
  CHECK(platform.world.loop.now() - started_at < Millis(330));
  CHECK(count_execs(platform) == 0);
}

TEST_CASE("a refused connection still counts against its host", "[system-calls]") {
  Platform platform(2);
  const auto client = connect_client(platform);
  SystemCallFaults faults;
  faults.only_to_port(port_of(platform.world.host[0]->server.address()));
  faults.fail(SystemCall::connect, {ECONNREFUSED});
  for (int i = 0; i < 20; ++i) {
    client->call(std::to_string(i + 1), "bin-check", "b" + std::to_string(i + 1));
    const resp::Words* answer = client->answer(std::to_string(i + 1));
    REQUIRE(answer != nullptr);
    CHECK((*answer)[1] == "OK");
  }
  CHECK(platform.world.host[1]->execs == 20);
  CHECK(platform.world.counters.value("net.connect.refused") > 0);
  CHECK(faults.calls(SystemCall::connect) < 12);  // once ejected, it is not connected to for each call
}

}  // namespace
}  // namespace lotusyard::test
