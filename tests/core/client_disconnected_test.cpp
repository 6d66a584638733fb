// A client that cancelled or closed: no attempt begins for it, whatever stands before that in its bytes, and
// however long the turns are. Orders are forced by what stands in sockets before a turn.
#include "support/raw_client.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

constexpr std::size_t kLongBody = 16000;
constexpr int kCalls = 28;  // with the longest bodies: more than three turns read

std::string long_calls(int first, int count) {
  std::string out;
  for (int tag = first; tag < first + count; ++tag)
    out += call_bytes(tag, std::string(kLongBody, 'x'));
  return out;
}
std::string cancels(int first, int count) {
  std::string out;
  for (int tag = first; tag < first + count; ++tag)
    out += cancel_bytes(tag);
  return out;
}

// Failure found in review: a call that was looked at once, with its client's bytes unread, went out in the
// second turn whatever these bytes were: the CANCEL stood behind what two turns read.
TEST_CASE("a CANCEL behind more bytes than two turns read is heard before a first attempt goes out") {
  Platform p(1);
  const auto usual = connect_host(p);
  RawClient client(p);
  client.say(long_calls(1, kCalls) + cancels(1, kCalls));
  for (int i = 0; i < 10; ++i)
    turn_with(p.world, [] { usleep(30000); });
  CHECK(p.world.host[0]->execs == 1);  // the usual one
  CHECK(p.world.dispatcher.open_calls() == 0);
}

TEST_CASE("a CANCEL behind more bytes than two turns read is heard before a retry goes out") {
  Platform p(2);
  for (auto& host : p.world.host)
    host->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  const auto execs = [&] { return p.world.host[0]->execs + p.world.host[1]->execs; };
  RawClient client(p);
  client.say(call_bytes(1));
  REQUIRE(p.world.run_until([&] { return execs() == 1; }, 1000));
  const auto& host = p.world.host[0]->execs == 1 ? p.world.host[0] : p.world.host[1];
  const auto peer = host->server.peers.front();
  // Between a turn's reads and its writes: the next turn reads the host's word and a part of the client's.
  turn_with(p.world, [&] {
    client.say(long_calls(2, kCalls) + cancels(1, kCalls + 1));
    peer->write(net::hex16(1) + " full - 0\r\n\r\n");
    peer->flush_now();
  });
  run_turns(p);
  CHECK(p.world.counters.value("hosts.answers.full") == 1);
  CHECK(execs() == 1);
  CHECK(p.world.dispatcher.open_calls() == 0);
}

// Failure found in review: once a tag was repeated, nothing that came behind was heard, a CANCEL neither.
TEST_CASE("a CANCEL behind a fault of its client is heard, while the connection to the host comes up") {
  Platform p(1);
  RawClient client(p);
  client.say(call_bytes(1));
  p.world.turn();
  REQUIRE(p.world.counters.value("hosts.links_opened") == 1);
  REQUIRE(p.world.counters.value("hosts.links_up") == 0);
  std::string without_tag;
  resp::write_array(without_tag, {"CALL", "0"});
  client.say((GENERATE(true, false) ? call_bytes(1) : without_tag) + cancel_bytes(1));
  turn_with(p.world, [] { usleep(1000); });
  run_turns(p);
  CHECK(p.world.counters.value("hosts.links_up") == 1);
  CHECK(p.world.host[0]->execs == 0);
  CHECK(p.world.dispatcher.open_calls() == 0);
}

// A client that goes on sending is not kept from its attempts: what it sent is read at once, not a part a
// turn.
TEST_CASE("a client that sends more in each turn is served") {
  Platform p(1);
  const auto usual = connect_host(p);
  RawClient client(p);
  client.say(call_bytes(1));
  for (int tag = 2; tag < 200 && p.world.host[0]->execs < 2; ++tag) {
    turn_with(p.world, [&] {
      std::string check;
      resp::write_array(check, {"CHECK", std::to_string(tag)});
      client.say(check);
    });
  }
  CHECK(p.world.host[0]->execs == 2);
}

}  // namespace
}  // namespace lotusyard::test
