// No attempt is sent for a client that has cancelled or closed its connection, no matter how many bytes
// precede the CANCEL and how long the iterations of the event loop take. The tests force the order of events
// by what is in sockets before an iteration.
#include "support/raw_client.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

constexpr std::size_t kLongBodyBytes = 16000;
constexpr int kCalls = 28;  // with such bodies, these are more than three iterations read

std::string long_call_commands(int first, int count) {
  std::string out;
  for (int tag = first; tag < first + count; ++tag)
    out += call_bytes(tag, std::string(kLongBodyBytes, 'x'));
  return out;
}
std::string cancel_commands(int first, int count) {
  std::string out;
  for (int tag = first; tag < first + count; ++tag)
    out += cancel_bytes(tag);
  return out;
}

// Guards against a call that is sent in the second iteration, because unread input of its client defers it
// only once, although the CANCEL is behind the bytes that two iterations read.
TEST_CASE("a CANCEL behind more bytes than two iterations read is handled before a first attempt is sent") {
  RespFixture service(1);
  const auto first_client = connect_host(service);
  RawClient client(service);
  client.send(long_call_commands(1, kCalls) + cancel_commands(1, kCalls));
  for (int i = 0; i < 10; ++i)
    run_once_with(service.invoker, [] { usleep(30000); });
  CHECK(service.invoker.host[0]->execs == 1);  // of the first client
  CHECK(service.invoker.dispatcher.open_calls() == 0);
}

TEST_CASE("a CANCEL behind more bytes than two iterations read is handled before a retry is sent") {
  RespFixture service(2);
  for (auto& host : service.invoker.host)
    host->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  const auto attempts = [&] { return service.invoker.host[0]->execs + service.invoker.host[1]->execs; };
  RawClient client(service);
  client.send(call_bytes(1));
  REQUIRE(service.invoker.run_until([&] { return attempts() == 1; }, 1000));
  const auto& host = service.invoker.host[0]->execs == 1 ? service.invoker.host[0] : service.invoker.host[1];
  const auto peer = host->server.peers.front();
  // This happens between the reads and the writes of an iteration: the next one reads the host's answer and
  // only a part of the client's input.
  run_once_with(service.invoker, [&] {
    client.send(long_call_commands(2, kCalls) + cancel_commands(1, kCalls + 1));
    peer->write(net::hex16(1) + " full - 0\r\n\r\n");
    peer->flush_now();
  });
  run_iterations(service);
  CHECK(service.invoker.counters.value("hosts.answers.full") == 1);
  CHECK(attempts() == 1);
  CHECK(service.invoker.dispatcher.open_calls() == 0);
}

// Guards against ignoring all further input of a client, even a CANCEL, after a repeated or missing tag.
TEST_CASE("a CANCEL behind a wrong tag is handled while the connection to the host is being established") {
  RespFixture service(1);
  RawClient client(service);
  client.send(call_bytes(1));
  service.invoker.run_once();
  REQUIRE(service.invoker.counters.value("hosts.links_opened") == 1);
  REQUIRE(service.invoker.counters.value("hosts.links_up") == 0);
  std::string without_tag;
  resp::write_array(without_tag, {"CALL", "0"});
  client.send((GENERATE(true, false) ? call_bytes(1) : without_tag) + cancel_bytes(1));
  run_once_with(service.invoker, [] { usleep(1000); });
  run_iterations(service);
  CHECK(service.invoker.counters.value("hosts.links_up") == 1);
  CHECK(service.invoker.host[0]->execs == 0);
  CHECK(service.invoker.dispatcher.open_calls() == 0);
}

// All input of a client is read before its attempt is sent. If each iteration read only a part of it, such a
// client would never be served.
TEST_CASE("a client that sends more input in each iteration is served") {
  RespFixture service(1);
  const auto first_client = connect_host(service);
  RawClient client(service);
  client.send(call_bytes(1));
  for (int tag = 2; tag < 200 && service.invoker.host[0]->execs < 2; ++tag) {
    run_once_with(service.invoker, [&] {
      std::string check;
      resp::write_array(check, {"CHECK", std::to_string(tag)});
      client.send(check);
    });
  }
  CHECK(service.invoker.host[0]->execs == 2);
}

}  // namespace
}  // namespace lotusyard::test
