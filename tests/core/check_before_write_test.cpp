// An attempt whose client has disconnected or cancelled by the time it would be written is not written. The
// tests force the order of events by what is in sockets before an iteration of the event loop, and by the
// numbers of descriptors, in whose order the loop handles them.
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "support/raw_client.h"
#include "support/resp_fixture.h"

namespace lotusyard::test {
namespace {

constexpr int kCalls = 12;  // with long bodies, these are more than one iteration reads
constexpr std::size_t kLongBodyBytes = 16000;
constexpr int kIterations = 20;  // enough for all consequences

// A call of the class bin-check, or another one.
std::string call_command(int tag, const std::string& call_class = "bin-check",
                         const std::string& body = "x") {
  std::string out;
  const std::string ref = net::hex16(static_cast<std::uint64_t>(tag));
  const std::string fields = "ref=" + ref + ",allow=1000,lookup=00000000000000a1";
  resp::write_array(out, {"CALL", std::to_string(tag), call_class, fields, body});
  return out;
}

std::string long_call_commands() {
  std::string out;
  for (int tag = 1; tag <= kCalls; ++tag)
    out += call_command(tag, "bin-check", std::string(kLongBodyBytes, 'x'));
  return out;
}

std::string cancel_commands() {
  std::string out;
  for (int tag = 1; tag <= kCalls; ++tag)
    out += cancel_bytes(tag);
  return out;
}

void close_with_reset(RawClient& client) {
  const linger reset_on_close{1, 0};
  REQUIRE(setsockopt(client.socket.fd(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close) == 0);
  client.socket.close();
}

// Guards against sending a call in the iteration that has read it although its client has disconnected by
// then.
TEST_CASE("a call whose client has disconnected before the write is not sent to a host") {
  RespFixture service(1);
  const auto first_client = connect_host(service);
  RawClient client(service);
  SECTION("closed right after the call") {
    client.send(call_command(1));
    client.socket.close();
  }
  SECTION("reset after the call was read") {
    client.send(call_command(1));
    run_once_with(service.invoker, [&] { close_with_reset(client); });
  }
  SECTION("half closed: it cannot be distinguished from one that has closed") {
    client.send(call_command(1));
    shutdown(client.socket.fd(), SHUT_WR);
  }
  SECTION("closed after more calls than one iteration reads") {
    client.send(long_call_commands());
    client.socket.close();
  }
  run_iterations(service, kIterations);
  CHECK(service.invoker.host[0]->execs == 1);  // of the first client
  CHECK(service.invoker.dispatcher.open_calls() == 0);
  CHECK(service.invoker.counters.value("calls.left") > 0);
}

TEST_CASE("a CANCEL behind more calls than one iteration reads is handled before its call is sent") {
  RespFixture service(1);
  const auto first_client = connect_host(service);
  RawClient client(service);
  client.send(long_call_commands() + cancel_commands());
  run_iterations(service, kIterations);
  CHECK(service.invoker.host[0]->execs == 1);  // of the first client
  CHECK(service.invoker.dispatcher.open_calls() == 0);
}

// Guards against sending the call, and its cancellation after it, on a host connection that is established in
// the iteration in which the client disconnects.
TEST_CASE(
    "a host connection established in the iteration in which the client disconnects is not sent the call") {
  RespFixture service(1);
  net::Socket reserved(dup(STDIN_FILENO));
  RawClient client(service);
  reserved.close();  // the connection to the host reuses its number, and is handled before the client
  client.send(call_command(1, GENERATE("bin-check", "bin-record")));
  service.invoker.run_once();
  REQUIRE(service.invoker.counters.value("hosts.links_opened") == 1);
  REQUIRE(service.invoker.counters.value("hosts.links_up") == 0);
  if (GENERATE(true, false)) {
    client.send(cancel_bytes(1));
  } else {
    client.socket.close();
  }
  service.invoker.run_once();
  CHECK(service.invoker.counters.value("hosts.links_up") == 1);
  run_iterations(service, kIterations);
  CHECK(service.invoker.host[0]->execs == 0);
  CHECK(service.invoker.host[0]->cancels == 0);
  CHECK(service.invoker.dispatcher.open_calls() == 0);
}

}  // namespace
}  // namespace lotusyard::test
