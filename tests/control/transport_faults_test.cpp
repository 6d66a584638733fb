// Peers of a control node that are silent, malformed or too many: each is counted, only its own connection is
// closed, and a well-behaved invoker is not affected.
#include <sys/resource.h>
#include <unistd.h>

#include "control/message_codec.h"
#include "control/node_server_fixture.h"

namespace lotusyard::test {
namespace {

int lowest_free_descriptor() {
  const int free = dup(0);
  close(free);
  return free;
}

std::string frame_header(std::uint32_t size, unsigned kind) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out += static_cast<char>(size >> shift & 0xff);
  return out + static_cast<char>(kind);
}

TEST_CASE("malformed input closes only its own connection, and is counted") {
  NodeServerFixture fixture;
  const std::string renew = control::encode(control::Renew{1, 0, 0});
  const std::vector<std::string> faulty = {
      std::string(100, 'x'),  // a length beyond all limits
      frame_header(static_cast<std::uint32_t>(control::kMaxFrameBytesToNode) + 1,
                   4),                                   // one byte beyond the limit
      frame_header(0, 77),                               // no such kind
      frame_header(3, 4) + "abc",                        // a body that is too short
      frame_header(25, 4) + std::string(25, '\0'),       // and one that is too long
      renew,                                             // no Open before it
      control::encode(control::Grant{1, Millis(100)})};  // only nodes send it
  for (std::size_t i = 0; i < faulty.size(); ++i) {
    INFO("fault " << i);
    ScriptedInvoker raw(fixture.server.address());
    raw.send_bytes(faulty[i]);
    CHECK(fixture.run_until_closed(raw));
    CHECK(raw.messages.empty());
    CHECK(fixture.count("control.malformed") == i + 1);
  }
  const auto raw = fixture.open_session();
  raw->send(fixture.cluster.open_message());
  CHECK(fixture.run_until_closed(*raw));
  CHECK(fixture.count("control.malformed") == faulty.size() + 1);
  CHECK(fixture.cluster.run_until([&] { return fixture.server.connection_count() == 1; }, Millis(2000)));
  fixture.check_invoker_unaffected();
}

TEST_CASE("random bytes never stop a node") {
  NodeServerFixture fixture;
  Random random(20);
  for (int i = 0; i < 60; ++i) {
    ScriptedInvoker raw(fixture.server.address());
    if (below(random, 2) == 0)
      raw.send(fixture.cluster.open_message());
    raw.send_bytes(garbage(random, std::string("\0\0\0\1\4\7", 6)));
    for (int iterations = 0; iterations < 3; ++iterations) {
      fixture.cluster.run_once();
      raw.read();
    }
  }
  CHECK(fixture.cluster.run_until([&] { return fixture.server.connection_count() == 1; }, Millis(5000)));
  fixture.check_invoker_unaffected();
}

TEST_CASE("an invoker of another cluster is refused with the reason, and its connection is closed") {
  NodeServerFixture fixture;
  ScriptedInvoker raw(fixture.server.address());
  control::Open open = fixture.cluster.open_message();
  open.cluster = "other";
  raw.send(open);
  CHECK(fixture.run_until_closed(raw));
  REQUIRE(raw.first<control::Refusal>() != nullptr);
  CHECK(raw.first<control::Refusal>()->reason == control::RefusalReason::other_cluster);
  CHECK(fixture.count("control.refused.other_cluster") == 1);
  fixture.check_invoker_unaffected();
}

TEST_CASE("a renewal with a position that the node has not reached closes the connection") {
  NodeServerFixture fixture;
  const auto raw = fixture.open_session();
  raw->send(control::Renew{1, fixture.cluster.index + 1, 0});
  CHECK(fixture.run_until_closed(*raw));
  CHECK(raw->first<control::Grant>() == nullptr);
  CHECK(fixture.count("control.future_position") == 1);
  fixture.check_invoker_unaffected();
}

TEST_CASE("a hundred silent connections, and one with half an Open, are closed after the open time-out") {
  NodeServerFixture fixture;
  const Millis began = fixture.cluster.loop.now();
  std::vector<std::unique_ptr<ScriptedInvoker>> silent;
  for (int i = 0; i < 100; ++i)
    silent.push_back(std::make_unique<ScriptedInvoker>(fixture.server.address()));
  ScriptedInvoker half(fixture.server.address());
  const std::string open = control::encode(fixture.cluster.open_message());
  half.send_bytes(open.substr(0, open.size() / 2));
  REQUIRE(fixture.cluster.run_until([&] { return fixture.server.connection_count() == 102; }, Millis(1000)));
  CHECK(fixture.run_until_closed(half, Millis(5000)));
  CHECK(fixture.cluster.loop.now() - began >= Millis(3000));
  CHECK(fixture.cluster.run_until([&] { return fixture.server.connection_count() == 1; }, Millis(1000)));
  CHECK(fixture.cluster.loop.now() - began < Millis(4500));
  CHECK(fixture.count("control.no_open") == 101);
  fixture.check_invoker_unaffected();
}

TEST_CASE("a session that is silent for two leases is closed") {
  NodeServerFixture fixture;
  const auto raw = fixture.open_session();
  const Millis began = fixture.cluster.loop.now();
  CHECK(fixture.run_until_closed(*raw, Millis(4000)));
  CHECK(fixture.cluster.loop.now() - began >= Millis(1100));
  CHECK(fixture.count("control.silent_links") == 1);
  CHECK(fixture.server.node().sessions().connected() == 1);
  fixture.check_invoker_unaffected();
}

TEST_CASE("a node without a free descriptor serves its connections, and accepts others later") {
  NodeServerFixture fixture;
  fixture.check_invoker_unaffected();
  ScriptedInvoker raw(fixture.server.address());
  raw.send(fixture.cluster.open_message());
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  rlimit full = before;
  full.rlim_cur = static_cast<rlim_t>(lowest_free_descriptor());
  // The sanitizers need descriptors for some checks, so nothing is asserted while there are none.
  setrlimit(RLIMIT_NOFILE, &full);
  fixture.cluster.change("without", "descriptors");
  fixture.cluster.wait(Millis(450));
  setrlimit(RLIMIT_NOFILE, &before);
  const std::uint64_t pauses = fixture.count("control.no_descriptor");
  CHECK((pauses >= 2 && pauses <= 5));
  CHECK(fixture.cluster.up_to_date(fixture.invoker));
  CHECK(fixture.cluster.run_until(
      [&] {
        raw.read();
        return raw.first<control::Welcome>() != nullptr;
      },
      Millis(1000)));
  fixture.check_invoker_unaffected();
}

TEST_CASE("connections beyond the limit are closed at once, and counted") {
  NodeServer::Limits limits;
  limits.spare_connections = 2;
  NodeServerFixture fixture(Millis(600), limits, 3);
  std::vector<std::unique_ptr<ScriptedInvoker>> others;
  for (int i = 0; i < 7; ++i)
    others.push_back(std::make_unique<ScriptedInvoker>(fixture.server.address()));
  const auto ended = [&] {
    for (const auto& one : others)
      one->read();
    return std::count_if(others.begin(), others.end(), [](const auto& one) { return one->ended; });
  };
  CHECK(fixture.cluster.run_until([&] { return ended() == 3; }, Millis(1000)));
  CHECK(fixture.server.connection_count() == 5);
  CHECK(fixture.count("control.too_many_links") == 3);
  fixture.check_invoker_unaffected();
}

}  // namespace
}  // namespace lotusyard::test
