// What waits for a peer that reads slowly or not at all is bounded.
#include "control/message_codec.h"
#include "control/replica.h"
#include "control/served.h"

namespace lotusyard::test {
namespace {

constexpr std::size_t kValue = 8000;
constexpr std::size_t kFrames = 100000;  // a chunk, a delta, answers, and what rounding to blocks adds

std::string large_value(int number) { return std::string(kValue, static_cast<char>('a' + number % 26)); }

// Takes what has come; the messages are used up.
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

TEST_CASE("a reader that is slow costs a bounded memory, and has everything once it reads again") {
  const int changes = GENERATE(800, 4000);  // the log holds as many as fit into 8 MB
  Served served(Millis(8000));
  const auto raw = served.opened();
  const auto snapshots = served.count("control.snapshots");
  control::Replica replica;
  replicate(*raw, replica);
  const NodeServer::Limits limits;
  std::size_t most = 0;
  for (int i = 0; i < changes; ++i) {
    served.tier.change("key" + std::to_string(i % 50), large_value(i));
    served.tier.run_once();
    most = std::max(most, served.server.pooled());
  }
  REQUIRE(served.tier.run_until([&] { return served.tier.up_to_date(served.good); }));
  CHECK(served.server.links() == 2);
  CHECK(served.server.pooled() >= limits.connection.max_unsent_bytes);  // else nothing was slow here
  CHECK(most <= 2 * (limits.connection.max_unsent_bytes + kFrames));    // of both connections
  CHECK(served.tier.run_until([&] {
    raw->read();
    replicate(*raw, replica);
    return replica.records() == served.tier.records;
  }));
  CHECK(replica.position() == served.tier.index);
  CHECK(served.count("control.snapshots") == snapshots + (changes == 4000 ? 1 : 0));
  served.check_good();
}

TEST_CASE("a link that takes nothing of what waits ends, although it renews") {
  NodeServer::Limits limits;
  limits.connection.stall_timeout = Millis(700);
  Served served(Millis(8000), limits);
  const auto raw = served.opened();
  for (int i = 0; i < 2000; ++i) {
    served.tier.change("key" + std::to_string(i % 50), large_value(i));
    served.tier.run_once();
  }
  REQUIRE(served.server.pooled() >= limits.connection.max_unsent_bytes);
  std::uint64_t sequence = 0;
  const bool ended = served.tier.run_until(
      [&] {
        if (sequence < 20)
          raw->send(control::Renew{++sequence, 1, 0});
        return served.count("control.stalled_links") == 1;
      },
      Millis(3000));
  CHECK(ended);
  CHECK(served.tier.run_until([&] { return served.server.links() == 1; }, Millis(100)));
  CHECK(served.tier.run_until([&] { return served.server.pooled() == 0; }, Millis(1000)));
  served.check_good();
}

TEST_CASE("links that take up all that may wait hold the others up only until they end") {
  NodeServer::Limits limits;
  limits.max_pooled_bytes = 1U << 20;
  limits.connection.stall_timeout = Millis(1500);
  Served served(Millis(8000), limits);
  std::vector<std::unique_ptr<ScriptedInvoker>> slow;
  for (std::uint64_t i = 0; i < 10; ++i)
    slow.push_back(served.opened(i + 1));
  auto& late = served.tier.add_invoker();  // served after all of them
  REQUIRE(served.tier.run_until([&] { return served.tier.all_up_to_date(); }));
  std::size_t most = 0;
  for (int i = 0; i < 1000; ++i) {
    served.tier.change("key" + std::to_string(i % 50), large_value(i));
    served.tier.run_once();
    most = std::max(most, served.server.pooled());
  }
  CHECK(most <= limits.max_pooled_bytes);
  CHECK_FALSE(served.tier.up_to_date(late));
  CHECK(served.tier.run_until([&] { return served.tier.all_up_to_date(); }, Millis(4000)));
  CHECK(served.count("control.stalled_links") > 0);
  served.check_good();
}

TEST_CASE("a peer that asks on and reads no answer ends before they take up much") {
  Served served(Millis(8000));
  const auto raw = served.opened();
  std::uint64_t sequence = 0;
  std::size_t most = 0;
  const bool ended = served.tier.run_until(
      [&] {
        std::string renewals;
        for (int i = 0; raw->unsent() == 0 && i < 5000; ++i)
          renewals += control::encode(control::Renew{++sequence, 1, 0});
        raw->send_bytes(renewals);
        most = std::max(most, served.server.pooled());
        return served.count("control.overflowed_links") == 1;
      },
      Millis(20000));
  CHECK(ended);
  CHECK(most < (2U << 20));
  CHECK(served.tier.run_until([&] { return served.server.links() == 1; }, Millis(100)));
  served.check_good();
}

}  // namespace
}  // namespace lotusyard::test
