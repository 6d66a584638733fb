// A host that is removed, drains or closes its connection before an attempt is written is not sent it. The
// order of events is forced by what happens between the reads and the writes of an iteration of the event
// loop.
#include <string>

#include "support/platform.h"
#include "support/raw_client.h"

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

// Found in review: what was decided for a host earlier in the iteration was sent, also if the host changed
// after it.
TEST_CASE("a host that drains or is removed after the decision is sent neither the call nor the load order") {
  Platform platform(1);
  Client first_client(platform.world, platform.front.address());
  first_client.call("1", "bin-check", "first");
  REQUIRE(first_client.answer("1") != nullptr);
  RawClient client(platform);
  std::string call;
  resp::write_array(call, {"CALL", "2", "bin-record",
                           "ref=" + net::hex16(2) + ",allow=1000,lookup=00000000000000a1", "second"});
  client.say(call);
  const auto state = GENERATE(policy::HostState::draining, policy::HostState::removed);
  const int orders = platform.world.host[0]->orders;
  turn_with(platform.world, [&] {
    REQUIRE(platform.world.dispatcher.open_calls() == 1);
    platform.world.fleet.load_copies("h0", 0xa1, 2);
    platform.world.tell(state);
  });
  run_turns(platform, 20);
  CHECK(platform.world.host[0]->execs == 1);
  CHECK(platform.world.host[0]->orders == orders);
  CHECK(platform.world.counters.value("hosts.withdrawn") == 2);
}

// Found in review: the call was written to a connection that its host had closed, and counted as one that may
// have run.
TEST_CASE(
    "a call is not written to a connection that its host has closed; an answer before the close counts") {
  Platform platform(1);
  StandInHost& host = *platform.world.host[0];
  host.handler = [](const std::string& body) {
    return body == "first" ? Reaction{Kind::silence, ""} : Reaction();
  };
  Client client(platform.world, platform.front.address());
  client.call("1", "bin-record", "first");
  REQUIRE(platform.world.run_until([&] { return host.execs == 1; }, 1000));
  client.call("2", "bin-record", "second");
  bool closed = false;
  while (!closed) {
    turn_with(platform.world, [&] {
      if (platform.world.dispatcher.open_calls() < 2)
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

// Found in review: a write that found the connection broken ended it with the answers unread.
TEST_CASE("answers that came before a connection broke are read, also if a write finds it broken") {
  Platform platform(1);
  StandInHost& host = *platform.world.host[0];
  host.handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  Client client(platform.world, platform.front.address());
  client.call("1", "bin-record", "first");
  client.call("2", "bin-check", "second");
  client.call("3", "bin-check", "third");
  REQUIRE(platform.world.run_until([&] { return host.execs == 3; }, 1000));
  turn_with(platform.world, [&] {
    answer_first_and_close(host);
    platform.world.dispatcher.client_disconnected(2);  // the cancellation is answered with a reset
    platform.world.dispatcher.client_disconnected(3);  // this write finds the connection reset
  });
  REQUIRE(client.answer("1") != nullptr);
  CHECK(client.answer("1")->at(1) == "OK");
}

}  // namespace
}  // namespace lotusyard::test
