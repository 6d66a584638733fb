// Which node a session connects to, when it reconnects, and how long it waits before.
#include <cmath>
#include <map>

#include "control/session_fixture.h"

namespace lotusyard::test {
namespace {

using control::KnownNodes;
using control::RefusalReason;

const std::vector<NodeAddress> kThreeRegions = {node_at("far", "z3", "r2"), node_at("near", "z2", "r1"),
                                                node_at("here", "z1", "r1")};

TEST_CASE("known nodes: the same zone comes first, then the same region, then others") {
  KnownNodes nodes("z1", "r1", kThreeRegions);
  std::mt19937_64 random(1);
  for (const char* name : {"here", "near", "far", "here", "near", "far"}) {
    const NodeAddress* const chosen = nodes.choose(Millis(0), random);
    REQUIRE(chosen != nullptr);
    CHECK(chosen->name == name);
    nodes.on_failure(chosen->address);  // is not chosen again before the others were tried
  }
}

TEST_CASE("known nodes: one of the equally near is chosen at random") {
  const KnownNodes fresh("z1", "r1",
                         {node_at("a", "z1", "r1"), node_at("b", "z1", "r1"), node_at("c", "z1", "r1"),
                          node_at("d", "z2", "r1")});
  std::mt19937_64 random(1);
  std::map<std::string, int> times;
  for (int i = 0; i < 3000; ++i) {
    KnownNodes nodes = fresh;
    ++times[nodes.choose(Millis(0), random)->name];
  }
  CHECK(times.size() == 3);
  for (const auto& [name, count] : times)
    CHECK((count > 900 && count < 1100));
}

TEST_CASE(
    "known nodes: before failures are cleared, the last one that failed is chosen only if it is alone") {
  KnownNodes nodes("z1", "r1", kThreeRegions);
  std::mt19937_64 random(1);
  nodes.on_failure("here:7000");
  CHECK(nodes.choose(Millis(0), random)->name == "near");
  nodes.hold_back("near:7000", Millis(100));
  nodes.hold_back("far:7000", Millis(200));
  CHECK(nodes.choose(Millis(0), random)->name == "here");
  nodes.clear_failures();
  CHECK(nodes.choose(Millis(150), random)->name == "here");
}

TEST_CASE("known nodes: when all are held back, the one available first is next") {
  KnownNodes nodes("z1", "r1", kThreeRegions);
  std::mt19937_64 random(1);
  nodes.hold_back("here:7000", Millis(300));
  nodes.hold_back("near:7000", Millis(200));
  nodes.hold_back("far:7000", Millis(100));
  CHECK(nodes.choose(Millis(99), random) == nullptr);
  CHECK(nodes.next_available() == Millis(100));
  CHECK(nodes.choose(Millis(100), random)->name == "far");
}

TEST_CASE("known nodes: learnt nodes are bounded, and the newest and the seeds stay") {
  KnownNodes nodes("z1", "r1", {node_at("seed", "z9", "r9")});
  std::mt19937_64 random(1);
  for (int list = 0; list < 10; ++list) {
    std::vector<NodeAddress> named;
    for (std::size_t i = 0; i < control::kMaxNodesInMessage; ++i)
      named.push_back(node_at(std::to_string(list) + "." + std::to_string(i), "z2", "r1"));
    nodes.learn(named);
  }
  CHECK(nodes.size() == KnownNodes::kMaxLearntNodes + 1);
  nodes.learn({node_at("here", "z1", "r1"), {"nowhere", "", "z1", "r1"}});
  CHECK(nodes.size() == KnownNodes::kMaxLearntNodes + 1);
  CHECK(nodes.choose(Millis(0), random)->name == "here");
  bool seed_chosen = false;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const NodeAddress chosen = *nodes.choose(Millis(0), random);
    seed_chosen = seed_chosen || chosen.name == "seed";
    nodes.on_failure(chosen.address);
  }
  CHECK(seed_chosen);
}

TEST_CASE("session: it connects to a node that it has learnt, not to the one that was lost") {
  SessionFixture fixture({node_at("a", "z1", "r1")});
  CHECK(fixture.next_connect() == "a");
  fixture.welcome({node_at("b", "z3", "r3")});
  fixture.drop_connection();
  CHECK(fixture.next_connect() == "b");
  fixture.drop_connection();
  CHECK(fixture.next_connect() == "a");
}

TEST_CASE("session: with only one node it connects to it again") {
  SessionFixture fixture({node_at("a", "z1", "r1")});
  for (int i = 0; i < 5; ++i) {
    CHECK(fixture.next_connect() == "a");
    fixture.drop_connection();
  }
}

TEST_CASE("session: waits are random up to a bound that doubles with each failure and is reset by a grant") {
  double longest[8] = {};
  double sum = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    SessionFixture fixture({node_at("a", "z1", "r1")}, seed);
    for (double& most : longest) {
      fixture.next_connect();
      fixture.drop_connection();
      most = std::max(most, (fixture.session->due() - fixture.now).count());
    }
    sum += (fixture.session->due() - fixture.now).count();
    fixture.open();
    fixture.grant(1, Millis(100));
    fixture.drop_connection();
    CHECK(fixture.session->due() - fixture.now <= Millis(500));
  }
  const double bounds[] = {500, 1000, 2000, 4000, 5000, 5000, 5000, 5000};
  for (int i = 0; i < 8; ++i)
    CHECK((longest[i] <= bounds[i] && longest[i] > 0.95 * bounds[i]));
  CHECK((sum / 400 > 2200 && sum / 400 < 2800));
}

TEST_CASE("session: a node that refused with a retry-after is not tried again in that time, others are") {
  SessionFixture fixture;
  CHECK(fixture.next_connect() == "a");
  fixture.session->on_connected(fixture.now);
  const Millis refused = fixture.now;
  fixture.session->on_message(control::Refusal{RefusalReason::busy, Millis(20000), {}}, fixture.now);
  CHECK_FALSE(fixture.transport.connected);
  CHECK(fixture.count("refused.busy") == 1);
  CHECK(fixture.next_connect() == "b");
  CHECK(fixture.now - refused <= Millis(500));
  fixture.session->on_connected(fixture.now);
  fixture.session->on_message(control::Refusal{RefusalReason::full, Millis(50000), {}}, fixture.now);
  CHECK(fixture.next_connect() == "a");  // both are held back: the one available first
  CHECK((fixture.now - refused >= Millis(20000) && fixture.now - refused <= Millis(40000)));
}

TEST_CASE("session: a node that drains refuses its sessions and names other nodes") {
  SessionFixture fixture({node_at("a", "z1", "r1")});
  fixture.open();
  fixture.grant(1, fixture.lease());
  const NodeAddress other = node_at("c", "z1", "r1");
  fixture.session->on_message(control::Refusal{RefusalReason::draining, Millis(0), {other}}, fixture.now);
  CHECK(fixture.session->holds_lease(fixture.now));
  CHECK(fixture.next_connect() == "c");
}

TEST_CASE("session: connecting and opening time out") {
  SessionFixture fixture;
  fixture.next_connect();
  fixture.run(Millis(999));
  CHECK(fixture.transport.connected);
  fixture.run(Millis(1));
  CHECK_FALSE(fixture.transport.connected);
  fixture.next_connect();
  fixture.now += Millis(600);
  fixture.session->on_connected(fixture.now);
  fixture.run(Millis(999));
  CHECK(fixture.transport.connected);
  fixture.run(Millis(1));
  CHECK_FALSE(fixture.transport.connected);
  CHECK(fixture.count("timed_out") == 2);
}

TEST_CASE("session: a renewal without a response within half a lease ends the connection") {
  SessionFixture fixture;
  fixture.open();
  fixture.grant(1, fixture.lease());
  fixture.run(fixture.heartbeat_interval());
  fixture.run(fixture.lease() / 2 - Millis(1));
  CHECK(fixture.session->open());
  CHECK(fixture.sent<control::Renew>().size() == 3);  // few are outstanding
  fixture.run(Millis(1));
  CHECK_FALSE(fixture.session->open());
  CHECK(fixture.count("silent") == 1);
  CHECK(fixture.session->holds_lease(fixture.now));
}

TEST_CASE("session: it leaves a node that grants nothing for one lease, and reaches one outside its region") {
  SessionFixture fixture(kThreeRegions);
  for (const char* name : {"here", "near", "far"}) {
    CHECK(fixture.open() == name);
    const Millis opened = fixture.now;
    fixture.grant(1, Millis(0));
    while (fixture.session->open())
      fixture.run_granting(fixture.heartbeat_interval(), Millis(0));
    const Millis stayed = fixture.now - opened;
    CHECK((stayed > fixture.lease() && stayed <= fixture.lease() + fixture.heartbeat_interval()));
  }
  CHECK(fixture.count("leaseless") == 3);
}

TEST_CASE("session: it stays at a node that sends a snapshot, although nothing is granted meanwhile") {
  SessionFixture fixture;
  fixture.open();
  const std::string bytes = control::encode_records({{"key", std::string(100, 'v')}});
  fixture.grant(1, Millis(0));
  for (std::size_t offset = 0; offset < bytes.size(); offset += 4) {
    fixture.session->on_message(control::SnapshotChunk{9, offset, bytes.size(), bytes.substr(offset, 4)},
                                fixture.now);
    fixture.run_granting(fixture.heartbeat_interval(), Millis(0));
  }
  CHECK(fixture.session->open());
  CHECK(fixture.replica.position() == 9);
}

TEST_CASE("session: with any pacing the number of ticks at the due time is bounded") {
  for (const double figure : {0.0, 0.001, 1.0}) {
    SessionFixture fixture;
    fixture.config.terms.lease = Millis(figure);
    fixture.config.pacing = {Millis(figure), Millis(figure), Millis(figure)};
    fixture.start(1);
    int ticks = 0;
    for (const Millis end = fixture.now + Millis(1000); fixture.session->due() <= end; ++ticks) {
      fixture.now = std::max(fixture.now, fixture.session->due());
      fixture.session->tick(fixture.now);
      if (ticks % 3 == 0 && fixture.transport.connected)
        fixture.welcome();
      REQUIRE(ticks < 10000);
    }
  }
  SessionFixture none(std::vector<NodeAddress>{});
  none.session->tick(none.now);
  CHECK(std::isinf(none.session->due().count()));
}

}  // namespace
}  // namespace lotusyard::test
