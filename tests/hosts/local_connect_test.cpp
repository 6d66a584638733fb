// Connections to hosts that this machine cannot make for a while: sound hosts keep their name.
#include "support/platform.h"
#include "support/system_call_faults.h"

namespace lotusyard::test {
namespace {

int execs(const Platform& p) {
  int sum = 0;
  for (const auto& host : p.world.host)
    sum += host->execs;
  return sum;
}
std::unique_ptr<Client> client_of(Platform& p) {
  auto client = std::make_unique<Client>(p.world, p.front.address());
  REQUIRE(
      p.world.run_until([&] { return client->is_open() && p.world.counters.value("resp.connections") > 0; }));
  return client;
}
void run_for(Platform& p, Millis span) {
  const Millis end = p.world.loop.now() + span;
  p.world.run_until([&] { return p.world.loop.now() >= end; });
}
std::string port_of(const std::string& address) { return address.substr(address.rfind(':') + 1); }

TEST_CASE("a connect that fails for this machine's sake is made again within the call's time",
          "[system-calls]") {
  const int error = GENERATE(EADDRNOTAVAIL, EAGAIN, ENOBUFS, ENETUNREACH);
  const bool late = GENERATE(false, true);  // told by the call itself, or when it is decided
  Platform p(3);
  const auto client = client_of(p);
  {
    SystemCallFaults faults;
    faults.fail(late ? SystemCall::pending_error : SystemCall::connect, {error});
    client->call("1", "bin-record", "patient");
    run_for(p, Millis(300));
    CHECK(client->got.empty());
    CHECK(faults.calls(SystemCall::connect) < 60);
  }
  const resp::Words* answer = client->answer("1");
  REQUIRE(answer != nullptr);
  CHECK((*answer)[1] == "OK");
  CHECK(execs(p) == 1);
  CHECK(p.world.counters.value("net.connect.local_resource") > 0);
}

TEST_CASE("a connect that this machine fails counts against no host", "[system-calls]") {
  const SystemCall call = GENERATE(SystemCall::connect, SystemCall::pending_error);
  Platform p(1);  // if this one were ejected, there would be no other
  const auto client = client_of(p);
  {
    SystemCallFaults faults;
    faults.fail(call, {EADDRNOTAVAIL});
    for (int i = 0; i < 8; ++i)
      client->call(std::to_string(i + 1), "bin-check", "b" + std::to_string(i + 1));
    run_for(p, Millis(200));
  }
  const Millis after = p.world.loop.now();
  for (int i = 0; i < 8; ++i) {
    const resp::Words* answer = client->answer(std::to_string(i + 1));
    REQUIRE(answer != nullptr);
    CHECK((*answer)[1] == "OK");
  }
  CHECK(p.world.loop.now() - after < Millis(200));
  CHECK(p.world.counters.value("hosts.connect_failed") == 0);
}

TEST_CASE("while one host cannot be reached from here, open connections carry its calls", "[system-calls]") {
  Platform p(3);
  const auto client = client_of(p);
  client->call("1000", "bin-check", "first");
  REQUIRE(client->answer("1000") != nullptr);  // one host has a connection now
  SystemCallFaults faults;
  faults.fail(SystemCall::connect, {EADDRNOTAVAIL});
  for (int i = 0; i < 60; ++i) {
    const Millis began = p.world.loop.now();
    client->call(std::to_string(i + 1), i % 2 == 0 ? "bin-check" : "bin-record", "b" + std::to_string(i + 1));
    const resp::Words* answer = client->answer(std::to_string(i + 1));
    REQUIRE(answer != nullptr);
    CHECK((*answer)[1] == "OK");
    CHECK((p.world.loop.now() - began).count() < 60);
    run_for(p, Millis(5));
  }
  CHECK(p.world.counters.value("hosts.waits_for_connection") < 25);  // mostly the open ones are chosen
}

TEST_CASE("what waits for a connection goes out no more once its client or its host has gone",
          "[system-calls]") {
  const bool cancels = GENERATE(true, false);
  Platform p(1);
  const auto client = client_of(p);
  {
    SystemCallFaults faults;
    faults.fail(SystemCall::connect, {EADDRNOTAVAIL});
    client->call("1", "bin-check", "gone");
    run_for(p, Millis(50));
    if (cancels)
      client->say({"CANCEL", "1"});
    if (!cancels)
      p.world.tell(lotusyard::policy::HostState::draining);
    run_for(p, Millis(50));
  }
  run_for(p, Millis(300));
  CHECK(execs(p) == 0);
  CHECK(p.world.host[0]->server.peers.empty());
}

TEST_CASE("a call for which no connection is made in its time is answered, and never goes out",
          "[system-calls]") {
  Platform p(2);
  const auto client = client_of(p);
  SystemCallFaults faults;
  faults.fail(SystemCall::connect, {EADDRNOTAVAIL});
  const Millis began = p.world.loop.now();
  client->call("1", "bin-record", "late", 300);
  const resp::Words* answer = client->answer("1");
  REQUIRE(answer != nullptr);
  CHECK((*answer)[1] != "OK");
  CHECK(p.world.loop.now() - began < Millis(330));
  CHECK(execs(p) == 0);
}

TEST_CASE("one host that refuses is the host's own fault still", "[system-calls]") {
  Platform p(2);
  const auto client = client_of(p);
  SystemCallFaults faults;
  faults.only_to_port(static_cast<std::uint16_t>(std::stoi(port_of(p.world.host[0]->server.address()))));
  faults.fail(SystemCall::connect, {ECONNREFUSED});
  for (int i = 0; i < 20; ++i) {
    client->call(std::to_string(i + 1), "bin-check", "b" + std::to_string(i + 1));
    const resp::Words* answer = client->answer(std::to_string(i + 1));
    REQUIRE(answer != nullptr);
    CHECK((*answer)[1] == "OK");
  }
  CHECK(p.world.host[1]->execs == 20);
  CHECK(p.world.counters.value("net.connect.refused") > 0);
  CHECK(faults.calls(SystemCall::connect) < 12);  // ejected, it is not asked for each call
}

}  // namespace
}  // namespace lotusyard::test
