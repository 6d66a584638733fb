// Limits on client connections: how many, and how long one may be idle or send half a request.
#include "support/resp_fixture.h"

namespace lotusyard::test {
namespace {

TEST_CASE("a connection over the limit replaces the one that has been idle longest") {
  resp::FrontEnd::Limits limits;
  limits.clients = 2;
  RespFixture service(1, limits);
  Client first(service.invoker, service.front_end.address());
  Client second(service.invoker, service.front_end.address());
  first.send({"CHECK", "1"});
  second.send({"CHECK", "1"});
  REQUIRE((first.answer("1") != nullptr && second.answer("1") != nullptr));
  Client third(service.invoker, service.front_end.address());
  third.send({"CHECK", "1"});
  CHECK(third.answer("1") != nullptr);
  CHECK(service.invoker.run_until([&] { return first.closed || second.closed; }, 20000));
}

TEST_CASE(
    "a connection without a request, or with half of one, is closed; one that has sent a request stays") {
  RespFixture service(1);
  Client usual(service.invoker, service.front_end.address());
  Client silent(service.invoker, service.front_end.address());
  Client incomplete(service.invoker, service.front_end.address());
  Client later_incomplete(service.invoker, service.front_end.address());
  usual.send({"CHECK", "1"});
  later_incomplete.send({"CHECK", "1"});
  REQUIRE((usual.answer("1") != nullptr && later_incomplete.answer("1") != nullptr));
  incomplete.write("*3\r\n$5\r\nCHE");
  later_incomplete.write("*3\r\n$5\r\nCHE");
  CHECK(service.invoker.run_until(
      [&] { return silent.closed && incomplete.closed && later_incomplete.closed; }, 20000));
  CHECK_FALSE(usual.closed);
  CHECK(service.invoker.counters.value("resp.no_request") == 2);
  CHECK(service.invoker.counters.value("resp.half_request") == 1);
}

TEST_CASE("dozens of connections without a request do not displace those that send requests") {
  resp::FrontEnd::Limits limits;
  limits.clients = 2;
  limits.new_connections = 4;
  RespFixture service(1, limits);
  Client usual(service.invoker, service.front_end.address());
  usual.send({"CHECK", "1"});
  REQUIRE(usual.answer("1") != nullptr);
  std::list<Client> silent;
  for (int i = 0; i < 40; ++i)
    silent.emplace_back(service.invoker, service.front_end.address());
  Client late(service.invoker, service.front_end.address());
  late.call("1", "bin-check", "x");
  REQUIRE(late.answer("1") != nullptr);
  CHECK(late.answer("1")->at(1) == "OK");
  CHECK_FALSE(usual.closed);
  CHECK(service.invoker.counters.value("resp.silent_closed") >= 36);
}

// Guards against: clients that connect at once, as their old process ends, are closed before they have sent.
TEST_CASE("new connections are closed unread only if no place is left, that of a client or their own") {
  constexpr std::size_t kClients = 6, kNewConnections = 2;
  resp::FrontEnd::Limits limits;
  limits.clients = kClients;
  limits.new_connections = kNewConnections;
  RespFixture service(1, limits);
  std::list<Client> clients;
  const auto connect_all = [&](std::size_t count) {
    for (std::size_t i = 0; i < count; ++i)
      clients.emplace_back(service.invoker, service.front_end.address());
    REQUIRE(service.invoker.run_until(
        [&] { return service.invoker.counters.value("resp.connections") == clients.size(); }));
  };
  connect_all(kClients);
  int number = 0;
  for (auto& client : clients)
    client.call(std::to_string(++number), "bin-check", "x");
  number = 0;
  for (auto& client : clients) {
    const std::string tag = std::to_string(++number);
    REQUIRE(client.answer(tag) != nullptr);
    CHECK(client.answer(tag)->at(1) == "OK");
  }
  CHECK(service.invoker.counters.value("resp.silent_closed") == 0);
  // Both limits together hold.
  connect_all(kNewConnections);
  CHECK(service.invoker.counters.value("resp.silent_closed") == 0);
  connect_all(1);
  CHECK(service.invoker.counters.value("resp.silent_closed") == 1);
}

// Guards against: connections that send nothing keep descriptors that a second process is to have.
TEST_CASE("new connections give back the places of clients when the limits shrink") {
  resp::FrontEnd::Limits limits;
  limits.clients = 6;
  limits.new_connections = 2;
  RespFixture service(1, limits);
  Client usual(service.invoker, service.front_end.address());
  usual.send({"CHECK", "1"});
  REQUIRE(usual.answer("1") != nullptr);
  std::list<Client> silent;
  for (int i = 0; i < 7; ++i)
    silent.emplace_back(service.invoker, service.front_end.address());
  REQUIRE(service.invoker.run_until([&] { return service.invoker.counters.value("resp.connections") == 8; }));
  CHECK(service.invoker.counters.value("resp.silent_closed") == 0);
  limits.clients = 2;
  service.front_end.set_limits(limits);
  CHECK(service.invoker.counters.value("resp.silent_closed") == 4);  // the usual client and 3 new ones stay
  CHECK_FALSE(usual.closed);
}

TEST_CASE("a request written byte by byte over two seconds is served while other connections stop half-way") {
  resp::FrontEnd::Limits limits;
  limits.clients = 1;
  limits.new_connections = 5;  // and the place of a client, until there is one
  RespFixture service(1, limits);
  Client slow(service.invoker, service.front_end.address());
  const std::string request = "*3\r\n$5\r\nCHECK\r\n$1\r\n1\r\n$0\r\n\r\n";
  std::list<Client> others;
  const Millis began = service.invoker.loop.now();
  for (std::size_t sent = 0; sent < request.size(); ++sent) {
    slow.write(request.substr(sent, 1));
    const Millis next =
        began + Millis(2200.0 * static_cast<double>(sent + 1) / static_cast<double>(request.size()));
    REQUIRE(service.invoker.run_until([&] { return service.invoker.loop.now() >= next; }));
    REQUIRE_FALSE(slow.closed);
    if (sent == 0)
      continue;  // the connection counts as making progress only from its second piece on
    for (int i = 0; i < 8; ++i) {
      others.emplace_back(service.invoker, service.front_end.address());
      if (i % 2 == 0)
        others.back().write("*3\r\n$5\r\nCHE");
    }
    while (others.size() > 40)
      others.pop_front();
  }
  REQUIRE(slow.answer("1") != nullptr);
  CHECK(slow.answer("1")->at(1) == "UP");
  CHECK(service.invoker.counters.value("resp.silent_closed") > 100);
}

}  // namespace
}  // namespace lotusyard::test
