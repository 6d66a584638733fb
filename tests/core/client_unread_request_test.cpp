// Valid requests of a client are answered although its connection is about to be closed: to admit another
// client, or because of malformed input after the requests.
#include <unistd.h>

#include <string>

#include "support/raw_client.h"
#include "support/resp_fixture.h"

namespace lotusyard::test {
namespace {

std::string receive(const net::Socket& socket) {
  char bytes[64];
  const ssize_t length = ::recv(socket.fd(), bytes, sizeof bytes, 0);
  REQUIRE(length > 0);
  return {bytes, static_cast<std::size_t>(length)};
}

// Guards against evicting the client that has been idle longest while its request is unread.
TEST_CASE("a client with an unread request is not evicted for a new client, which is rejected as BUSY") {
  resp::FrontEnd::Limits one_client;
  one_client.clients = 1;
  RespFixture service(1, one_client);
  net::Socket reserved(dup(STDIN_FILENO));
  Client first_client(service.invoker, service.front_end.address());
  first_client.send({"CHECK", "1"});
  REQUIRE(first_client.answer("1") != nullptr);
  reserved.close();
  RawClient other(service);  // gets the lower number of `reserved`, and is read first
  first_client.call("2", "bin-check", "first client");
  first_client.flush();
  other.send(call_bytes(1, "other"));
  REQUIRE(first_client.answer("2") != nullptr);
  CHECK(first_client.answer("2")->at(1) == "OK");
  CHECK_FALSE(first_client.closed);
  CHECK(receive(other.socket) == "*2\r\n$1\r\n1\r\n$4\r\nBUSY\r\n");
  CHECK(service.invoker.host[0]->runs.count("other") == 0);
}

core::Settings settings_with_long_deadlines() {
  core::Settings long_deadlines = settings();
  for (auto& call_class : long_deadlines.classes)
    call_class.latency_objective = call_class.deadline = Millis(5000);
  return long_deadlines;
}

struct MalformedInput {
  void (*send)(Client& client);
  const char* counter;
  bool later_calls_readable;  // after malformed bytes nothing can be read; after a wrong tag calls can
};

const MalformedInput kMalformedInputs[] = {
    {[](Client& client) { client.write("garbage\r\n\r\n*2\r\n"); }, "resp.malformed", false},
    {[](Client& client) { client.write("*3\r\n$5\r\nCHE"); }, "resp.half_request", false},
    {[](Client& client) { client.call("1", "bin-record", "again"); }, "resp.tag_repeated", true},
    {[](Client& client) {
       client.send({"CALL", "0"});
     },
     "resp.no_tag", true}};

// Guards against closing the connection, and losing the request, because of malformed input after a valid
// request.
TEST_CASE(
    "a valid call before malformed input, half a request or a wrong tag is answered, then the connection "
    "ends") {
  RespFixture service(1, {}, InvokerFixture::limits(), settings_with_long_deadlines());
  StandInHost& host = *service.invoker.host[0];
  host.handler = [](const std::string&) { return Reaction{Reaction::Kind::silence, ""}; };
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-record", "sound", 5000);
  const MalformedInput& input = kMalformedInputs[GENERATE(0, 1, 2, 3)];
  INFO(input.counter);
  input.send(client);
  REQUIRE(
      service.invoker.run_until([&] { return service.invoker.counters.value(input.counter) == 1; }, 2000));
  client.call("5", "bin-record", "behind");
  run_iterations(service, 20);
  REQUIRE(host.server.peers.size() == 1);
  const std::string ref = net::hex16(std::hash<std::string>()("1sound"));
  host.server.peers.front()->write(ref + " data - 5\r\nsound\r\n");
  REQUIRE(client.answer("1") != nullptr);
  CHECK(*client.answer("1") == resp::Words{"1", "OK", "", "sound"});
  CHECK(service.invoker.run_until([&] { return client.closed; }, 2000));
  CHECK(client.answers.size() == (input.later_calls_readable ? 2 : 1));
  if (input.later_calls_readable)
    CHECK(*client.answer("5") == resp::Words{"5", "BUSY"});
  CHECK(host.execs == 1);
}

}  // namespace
}  // namespace lotusyard::test
