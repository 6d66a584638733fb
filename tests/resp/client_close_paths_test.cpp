// The ways in which a client's connection is closed: each call that has arrived by then gets an answer,
// whether it was read or not.
#include "support/raw_client.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;
using Words = std::vector<std::string>;

std::string bytes_of(const std::vector<std::string_view>& words) {
  std::string out;
  resp::write_array(out, words);
  return out;
}

void silence_hosts(RespFixture& service) {
  for (auto& host : service.invoker.host)
    host->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
}

// Answers a call of a RawClient at the host.
void answer_call(RespFixture& service, int tag) {
  const auto peer = service.invoker.host[0]->server.peers.front();
  peer->write(net::hex16(static_cast<std::uint64_t>(tag)) + " data - 1\r\nx\r\n");
}

// Limits shrink as a second process starts. An established client that sends another request must not be
// closed with its calls open because there are now fewer places.
TEST_CASE("an established client with open calls is not evicted when the limit shrinks") {
  resp::FrontEnd::Limits limits;
  limits.clients = 2;
  RespFixture service(1, limits);
  silence_hosts(service);
  RawClient first(service), second(service);
  first.send(call_bytes(1));
  second.send(call_bytes(2));
  REQUIRE(service.invoker.run_until([&] { return service.invoker.host[0]->execs == 2; }, 1000));
  limits.clients = 1;
  service.front_end.set_limits(limits);
  first.send(call_bytes(3));
  run_iterations(service);
  for (int tag = 1; tag <= 3; ++tag)
    answer_call(service, tag);
  run_iterations(service);
  CHECK(first.answers() == std::map<std::string, Words>{{"1", {"OK"}}, {"3", {"OK"}}});
  CHECK(second.answers() == std::map<std::string, Words>{{"2", {"OK"}}});
}

// Guards against rejecting only the calls of the first read, and losing those that a client above the limit
// has sent beyond it.
TEST_CASE("a client above the limit gets a rejection for each call that it has sent") {
  resp::FrontEnd::Limits limits;
  limits.clients = 1;
  RespFixture service(1, limits);
  silence_hosts(service);
  RawClient established(service);
  established.send(call_bytes(1));
  REQUIRE(service.invoker.run_until([&] { return service.invoker.host[0]->execs == 1; }, 1000));
  RawClient excess(service);
  std::string more_calls;
  for (int tag = 2; tag <= 13; ++tag)
    more_calls += call_bytes(tag, std::string(16000, 'x'));
  excess.send(more_calls);
  run_iterations(service);
  const auto answers = excess.answers();
  CHECK(answers.size() == 12);
  for (const auto& [tag, words] : answers)
    CHECK(words == Words{"BUSY"});
  CHECK(excess.closed);
  CHECK(service.invoker.host[0]->execs == 1);
}

// Guards against reading valid calls behind a faulty one and closing their connection without an answer.
TEST_CASE("valid calls behind a faulty one that leaves the stream parsable are rejected, not lost") {
  RespFixture service(1);
  silence_hosts(service);
  RawClient client(service);
  client.send(call_bytes(1));
  REQUIRE(service.invoker.run_until([&] { return service.invoker.host[0]->execs == 1; }, 1000));
  const bool repeated = GENERATE(true, false);
  const std::string fault = repeated ? call_bytes(1) : bytes_of({"CALL", "0"});
  std::string more_calls;
  for (int tag = 3; tag <= 12; ++tag)
    more_calls += call_bytes(tag, std::string(16000, 'x'));
  client.send(fault + call_bytes(2) + more_calls);
  run_iterations(service);
  answer_call(service, 1);
  run_iterations(service);
  const auto answers = client.answers();
  CHECK(answers.size() == 12);
  for (const auto& [tag, words] : answers)
    CHECK(words == Words{tag == "1" ? "OK" : "BUSY"});
  CHECK(client.closed);
  CHECK(service.invoker.host[0]->execs == 1);
}

// The same for calls behind the last faulty call that a connection is allowed.
TEST_CASE("valid calls behind too many faulty ones are rejected, read or not, before the connection closes") {
  RespFixture service(1);
  RawClient client(service);
  std::string more_calls;
  for (int tag = 1; tag <= 65; ++tag)
    more_calls += call_bytes(tag, "x", "no-class");
  for (int tag = 66; tag <= 75; ++tag)
    more_calls += call_bytes(tag, std::string(16000, 'x'));
  client.send(more_calls);
  run_iterations(service);
  const auto answers = client.answers();
  CHECK(answers.size() == 75);
  for (const auto& [tag, words] : answers)
    CHECK(words == Words{std::stoi(tag) <= 65 ? "FAILED" : "BUSY"});
  CHECK(client.closed);
  CHECK(service.invoker.host[0]->execs == 0);
}

// Guards against evicting the least recently active client while it has sent half a request.
TEST_CASE("of clients without open calls, one that has sent part of a request is evicted last") {
  resp::FrontEnd::Limits limits;
  limits.clients = 2;
  RespFixture service(1, limits);
  RawClient half(service), idle(service), newest(service);
  half.send(bytes_of({"CHECK", "1", ""}));
  run_iterations(service, 3);
  idle.send(bytes_of({"CHECK", "1", ""}));
  run_iterations(service, 3);
  const std::string request = call_bytes(2);
  half.send(request.substr(0, 20));
  service.invoker.run_once();
  idle.send(bytes_of({"CHECK", "2", ""}));
  service.invoker.run_once();
  newest.send(bytes_of({"CHECK", "1", ""}));
  run_iterations(service, 3);
  half.send(request.substr(20));
  run_iterations(service);
  CHECK(half.answers()["2"] == Words{"OK"});
  idle.answers();
  CHECK(idle.closed);
  CHECK(newest.answers()["1"] == Words{"UP"});
}

}  // namespace
}  // namespace lotusyard::test
