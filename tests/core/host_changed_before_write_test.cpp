// A host that is removed, drains or closes its connection before an attempt is written does not receive it.
// The tests force the order of events by acting between the reads and the writes of an iteration of the event
// loop.
#include <string>

#include "support/raw_client.h"
#include "support/resp_fixture.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

// The ref that Client::call() gives a call.
std::string ref_of(const std::string& tag, const std::string& body) {
  return net::hex16(std::hash<std::string>()(tag + body));
}

// The host answers the call with the body "first" and closes its connection right afterwards.
void answer_first_and_close(StandInHost& host) {
  const auto peer = host.server.peers.front();
  peer->write(ref_of("1", "first") + " data - 5\r\nfirst\r\n");
  peer->flush_now();
  peer->close_later();
  peer->flush();
}

// Guards against sending what was decided for a host earlier in the iteration although the host has changed
// since.
TEST_CASE("a host that drains or is removed after the decision is sent neither the call nor the load order") {
  RespFixture service(1);
  Client first_client(service.invoker, service.front_end.address());
  first_client.call("1", "bin-check", "first");
  REQUIRE(first_client.answer("1") != nullptr);
  RawClient client(service);
  std::string call;
  resp::write_array(call, {"CALL", "2", "bin-record",
                           "ref=" + net::hex16(2) + ",allow=1000,lookup=00000000000000a1", "second"});
  client.send(call);
  const auto state = GENERATE(policy::HostState::draining, policy::HostState::removed);
  const int orders_before = service.invoker.host[0]->load_orders;
  run_once_with(service.invoker, [&] {
    REQUIRE(service.invoker.dispatcher.open_calls() == 1);
    service.invoker.host_pool.load_copies("h0", 0xa1, 2);
    service.invoker.update_hosts(state);
  });
  run_iterations(service, 20);
  CHECK(service.invoker.host[0]->execs == 1);
  CHECK(service.invoker.host[0]->load_orders == orders_before);
  CHECK(service.invoker.counters.value("hosts.withdrawn") == 2);
}

// Guards against writing a call to a connection that its host has closed: the call would count as one that
// may have run.
TEST_CASE(
    "a call is not written to a connection that its host has closed; an answer before the close counts") {
  RespFixture service(1);
  StandInHost& host = *service.invoker.host[0];
  host.handler = [](const std::string& body) {
    return body == "first" ? Reaction{Kind::silence, ""} : Reaction();
  };
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-record", "first");
  REQUIRE(service.invoker.run_until([&] { return host.execs == 1; }, 1000));
  client.call("2", "bin-record", "second");
  bool closed = false;
  while (!closed) {
    run_once_with(service.invoker, [&] {
      if (service.invoker.dispatcher.open_calls() < 2)
        return;
      answer_first_and_close(host);
      closed = true;
    });
  }
  REQUIRE((client.answer("1") != nullptr && client.answer("2") != nullptr));
  CHECK(client.answer("1")->at(1) == "OK");
  CHECK(client.answer("2")->at(1) == "OK");
  CHECK(host.runs["second"] == 1);
}

// Guards against ending a connection on a failed write while answers that it has received are unread.
TEST_CASE("answers that arrived before a connection broke are read, also if a write finds it broken") {
  RespFixture service(1);
  StandInHost& host = *service.invoker.host[0];
  host.handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-record", "first");
  client.call("2", "bin-check", "second");
  client.call("3", "bin-check", "third");
  REQUIRE(service.invoker.run_until([&] { return host.execs == 3; }, 1000));
  run_once_with(service.invoker, [&] {
    answer_first_and_close(host);
    service.invoker.dispatcher.client_disconnected(2);  // the cancellation is answered with a reset
    service.invoker.dispatcher.client_disconnected(3);  // this write finds the connection reset
  });
  REQUIRE(client.answer("1") != nullptr);
  CHECK(client.answer("1")->at(1) == "OK");
}

}  // namespace
}  // namespace lotusyard::test
