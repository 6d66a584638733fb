// Each way in which a client's connection ends: a call that has arrived by then gets an answer, read or not.
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

void silence_hosts(Platform& platform) {
  for (auto& host : platform.world.host)
    host->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
}

// Answers a call of a RawClient at the host.
void answer_call(Platform& platform, int tag) {
  const auto peer = platform.world.host[0]->server.peers.front();
  peer->write(net::hex16(static_cast<std::uint64_t>(tag)) + " data - 1\r\nx\r\n");
}

// Failure found in review: limits shrink as a second process starts; a client that was established and sent
// another request was closed for lack of a place, with its calls open.
TEST_CASE("a client that has its place keeps it with calls open, also when there are fewer places") {
  resp::FrontEnd::Limits limits;
  limits.clients = 2;
  Platform platform(1, limits);
  silence_hosts(platform);
  RawClient first(platform), second(platform);
  first.say(call_bytes(1));
  second.say(call_bytes(2));
  REQUIRE(platform.world.run_until([&] { return platform.world.host[0]->execs == 2; }, 1000));
  limits.clients = 1;
  platform.front.set_limits(limits);
  first.say(call_bytes(3));
  run_turns(platform);
  for (int tag = 1; tag <= 3; ++tag)
    answer_call(platform, tag);
  run_turns(platform);
  CHECK(first.answers() == std::map<std::string, Words>{{"1", {"OK"}}, {"3", {"OK"}}});
  CHECK(second.answers() == std::map<std::string, Words>{{"2", {"OK"}}});
}

// Failure found in review: of what a client without a place had sent, only the first read was refused.
TEST_CASE("a client for whom there is no place hears that for each call it has sent") {
  resp::FrontEnd::Limits limits;
  limits.clients = 1;
  Platform platform(1, limits);
  silence_hosts(platform);
  RawClient usual(platform);
  usual.say(call_bytes(1));
  REQUIRE(platform.world.run_until([&] { return platform.world.host[0]->execs == 1; }, 1000));
  RawClient other(platform);
  std::string many;
  for (int tag = 2; tag <= 13; ++tag)
    many += call_bytes(tag, std::string(16000, 'x'));
  other.say(many);
  run_turns(platform);
  const auto answers = other.answers();
  CHECK(answers.size() == 12);
  for (const auto& [tag, words] : answers)
    CHECK(words == Words{"BUSY"});
  CHECK(other.closed);
  CHECK(platform.world.host[0]->execs == 1);
}

// Failure found in review: valid calls behind a fault were read, and their connection closed unanswered.
TEST_CASE("a sound call behind a fault that leaves the bytes readable is refused, not lost") {
  Platform platform(1);
  silence_hosts(platform);
  RawClient client(platform);
  client.say(call_bytes(1));
  REQUIRE(platform.world.run_until([&] { return platform.world.host[0]->execs == 1; }, 1000));
  const bool repeated = GENERATE(true, false);
  const std::string fault = repeated ? call_bytes(1) : bytes_of({"CALL", "0"});
  std::string many;
  for (int tag = 3; tag <= 12; ++tag)
    many += call_bytes(tag, std::string(16000, 'x'));
  client.say(fault + call_bytes(2) + many);
  run_turns(platform);
  answer_call(platform, 1);
  run_turns(platform);
  const auto answers = client.answers();
  CHECK(answers.size() == 12);
  for (const auto& [tag, words] : answers)
    CHECK(words == Words{tag == "1" ? "OK" : "BUSY"});
  CHECK(client.closed);
  CHECK(platform.world.host[0]->execs == 1);
}

// Failure found in review: the same behind the last fault that a connection may bring.
TEST_CASE("sound calls behind too many faults are refused, read or not, before the connection ends") {
  Platform platform(1);
  RawClient client(platform);
  std::string many;
  for (int tag = 1; tag <= 65; ++tag)
    many += call_bytes(tag, "x", "no-class");
  for (int tag = 66; tag <= 75; ++tag)
    many += call_bytes(tag, std::string(16000, 'x'));
  client.say(many);
  run_turns(platform);
  const auto answers = client.answers();
  CHECK(answers.size() == 75);
  for (const auto& [tag, words] : answers)
    CHECK(words == Words{std::stoi(tag) <= 65 ? "FAILED" : "BUSY"});
  CHECK(client.closed);
  CHECK(platform.world.host[0]->execs == 0);
}

// Failure found in review: the least recently active client was evicted, though it had sent half a request.
TEST_CASE("of clients with no call open, one half-way through a request is ended last") {
  resp::FrontEnd::Limits limits;
  limits.clients = 2;
  Platform platform(1, limits);
  RawClient half(platform), idle(platform), newest(platform);
  half.say(bytes_of({"CHECK", "1", ""}));
  run_turns(platform, 3);
  idle.say(bytes_of({"CHECK", "1", ""}));
  run_turns(platform, 3);
  const std::string request = call_bytes(2);
  half.say(request.substr(0, 20));
  platform.world.turn();
  idle.say(bytes_of({"CHECK", "2", ""}));
  platform.world.turn();
  newest.say(bytes_of({"CHECK", "1", ""}));
  run_turns(platform, 3);
  half.say(request.substr(20));
  run_turns(platform);
  CHECK(half.answers()["2"] == Words{"OK"});
  idle.answers();
  CHECK(idle.closed);
  CHECK(newest.answers()["1"] == Words{"UP"});
}

}  // namespace
}  // namespace lotusyard::test
