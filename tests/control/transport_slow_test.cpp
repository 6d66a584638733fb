// The bytes that are queued for a peer that reads slowly or not at all are bounded.
#include "control/message_codec.h"
#include "control/node_server_fixture.h"
#include "control/replica.h"

namespace lotusyard::test {
namespace {

constexpr std::size_t kValue = 8000;
constexpr std::size_t kFrames = 100000;  // a chunk, a delta, responses, and rounding to blocks

std::string large_value(int number) { return std::string(kValue, static_cast<char>('a' + number % 26)); }

// Applies the messages that were read, and removes them.
void replicate(ScriptedInvoker& raw, control::Replica& replica) {
  for (const auto& message : raw.messages) {
    if (const auto* chunk = std::get_if<control::SnapshotChunk>(&message)) {
      CHECK(replica.apply(*chunk) != control::Replica::Outcome::malformed);
    }
    if (const auto* delta = std::get_if<control::Delta>(&message)) {
      CHECK(replica.apply(*delta) == control::Replica::Outcome::applied);
    }
  }
  raw.messages.clear();
}

TEST_CASE("a slow reader uses bounded memory, and catches up once it reads again") {
  const int changes = GENERATE(800, 4000);  // the log has as many as fit into 8 MB
  NodeServerFixture fixture(Millis(8000));
  const auto raw = fixture.open_session();
  const auto snapshots = fixture.count("control.snapshots");
  control::Replica replica;
  replicate(*raw, replica);
  const NodeServer::Limits limits;
  std::size_t most = 0;
  for (int i = 0; i < changes; ++i) {
    fixture.cluster.change("key" + std::to_string(i % 50), large_value(i));
    fixture.cluster.run_once();
    most = std::max(most, fixture.server.pooled());
  }
  REQUIRE(fixture.cluster.run_until([&] { return fixture.cluster.up_to_date(fixture.invoker); }));
  CHECK(fixture.server.connection_count() == 2);
  CHECK(fixture.server.pooled() >= limits.connection.max_unsent_bytes);  // otherwise nothing was queued
  CHECK(most <= 2 * (limits.connection.max_unsent_bytes + kFrames));     // of both connections
  CHECK(fixture.cluster.run_until([&] {
    raw->read();
    replicate(*raw, replica);
    return replica.records() == fixture.cluster.records;
  }));
  CHECK(replica.position() == fixture.cluster.index);
  CHECK(fixture.count("control.snapshots") == snapshots + (changes == 4000 ? 1 : 0));
  fixture.check_invoker_unaffected();
}

TEST_CASE("a connection that reads nothing is closed, although it sends renewals") {
  NodeServer::Limits limits;
  limits.connection.stall_timeout = Millis(700);
  NodeServerFixture fixture(Millis(8000), limits);
  const auto raw = fixture.open_session();
  for (int i = 0; i < 2000; ++i) {
    fixture.cluster.change("key" + std::to_string(i % 50), large_value(i));
    fixture.cluster.run_once();
  }
  REQUIRE(fixture.server.pooled() >= limits.connection.max_unsent_bytes);
  std::uint64_t sequence = 0;
  const bool ended = fixture.cluster.run_until(
      [&] {
        if (sequence < 20)
          raw->send(control::Renew{++sequence, 1, 0});
        return fixture.count("control.stalled_links") == 1;
      },
      Millis(3000));
  CHECK(ended);
  CHECK(fixture.cluster.run_until([&] { return fixture.server.connection_count() == 1; }, Millis(100)));
  CHECK(fixture.cluster.run_until([&] { return fixture.server.pooled() == 0; }, Millis(1000)));
  fixture.check_invoker_unaffected();
}

TEST_CASE("connections that use the entire buffer pool delay the others only until they are closed") {
  NodeServer::Limits limits;
  limits.max_pooled_bytes = 1U << 20;
  limits.connection.stall_timeout = Millis(1500);
  NodeServerFixture fixture(Millis(8000), limits);
  std::vector<std::unique_ptr<ScriptedInvoker>> slow;
  for (std::uint64_t i = 0; i < 10; ++i)
    slow.push_back(fixture.open_session(i + 1));
  auto& late = fixture.cluster.add_invoker();  // is served after all of them
  REQUIRE(fixture.cluster.run_until([&] { return fixture.cluster.all_up_to_date(); }));
  std::size_t most = 0;
  for (int i = 0; i < 1000; ++i) {
    fixture.cluster.change("key" + std::to_string(i % 50), large_value(i));
    fixture.cluster.run_once();
    most = std::max(most, fixture.server.pooled());
  }
  CHECK(most <= limits.max_pooled_bytes);
  CHECK_FALSE(fixture.cluster.up_to_date(late));
  CHECK(fixture.cluster.run_until([&] { return fixture.cluster.all_up_to_date(); }, Millis(4000)));
  CHECK(fixture.count("control.stalled_links") > 0);
  fixture.check_invoker_unaffected();
}

TEST_CASE("a peer that sends requests and reads no response is closed before it uses much memory") {
  NodeServerFixture fixture(Millis(8000));
  const auto raw = fixture.open_session();
  std::uint64_t sequence = 0;
  std::size_t most = 0;
  const bool ended = fixture.cluster.run_until(
      [&] {
        std::string renewals;
        for (int i = 0; raw->unsent() == 0 && i < 5000; ++i)
          renewals += control::encode(control::Renew{++sequence, 1, 0});
        raw->send_bytes(renewals);
        most = std::max(most, fixture.server.pooled());
        return fixture.count("control.overflowed_links") == 1;
      },
      Millis(20000));
  CHECK(ended);
  CHECK(most < (2U << 20));
  CHECK(fixture.cluster.run_until([&] { return fixture.server.connection_count() == 1; }, Millis(100)));
  fixture.check_invoker_unaffected();
}

}  // namespace
}  // namespace lotusyard::test
