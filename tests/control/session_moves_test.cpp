// Where a session goes, when it moves, and how long it waits before.
#include <cmath>
#include <map>

#include "control/session_rig.h"

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
    nodes.on_failure(chosen->address);  // and none comes again before the others were tried
  }
}

TEST_CASE("known nodes: of those equally near one is chosen at random") {
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

TEST_CASE("known nodes: the one that failed last is not chosen at first, if another is available") {
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

TEST_CASE("known nodes: when all are held back, the first to be free again is next") {
  KnownNodes nodes("z1", "r1", kThreeRegions);
  std::mt19937_64 random(1);
  nodes.hold_back("here:7000", Millis(300));
  nodes.hold_back("near:7000", Millis(200));
  nodes.hold_back("far:7000", Millis(100));
  CHECK(nodes.choose(Millis(99), random) == nullptr);
  CHECK(nodes.next_available() == Millis(100));
  CHECK(nodes.choose(Millis(100), random)->name == "far");
}

TEST_CASE("known nodes: learnt ones are bounded, the newest stay, and seeds are kept") {
  KnownNodes nodes("z1", "r1", {node_at("seed", "z9", "r9")});
  std::mt19937_64 random(1);
  for (int list = 0; list < 10; ++list) {
    std::vector<NodeAddress> told;
    for (std::size_t i = 0; i < control::kMaxNodesInMessage; ++i)
      told.push_back(node_at(std::to_string(list) + "." + std::to_string(i), "z2", "r1"));
    nodes.learn(told);
  }
  CHECK(nodes.size() == KnownNodes::kMaxLearntNodes + 1);
  nodes.learn({node_at("here", "z1", "r1"), {"nowhere", "", "z1", "r1"}});
  CHECK(nodes.size() == KnownNodes::kMaxLearntNodes + 1);
  CHECK(nodes.choose(Millis(0), random)->name == "here");
  bool seed_came = false;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const NodeAddress chosen = *nodes.choose(Millis(0), random);
    seed_came = seed_came || chosen.name == "seed";
    nodes.on_failure(chosen.address);
  }
  CHECK(seed_came);
}

TEST_CASE("session: it goes where it was told of, and never back at once") {
  SessionRig rig({node_at("a", "z1", "r1")});
  CHECK(rig.next_connect() == "a");
  rig.welcome({node_at("b", "z3", "r3")});
  rig.lose();
  CHECK(rig.next_connect() == "b");
  rig.lose();
  CHECK(rig.next_connect() == "a");
}

TEST_CASE("session: with one node only it goes back to it") {
  SessionRig rig({node_at("a", "z1", "r1")});
  for (int i = 0; i < 5; ++i) {
    CHECK(rig.next_connect() == "a");
    rig.lose();
  }
}

TEST_CASE("session: waits are drawn up to a bound that doubles with each failure, and begins anew") {
  double longest[8] = {};
  double sum = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    SessionRig rig({node_at("a", "z1", "r1")}, seed);
    for (double& most : longest) {
      rig.next_connect();
      rig.lose();
      most = std::max(most, (rig.session->due() - rig.now).count());
    }
    sum += (rig.session->due() - rig.now).count();
    rig.open();
    rig.grant(1, Millis(100));
    rig.lose();
    CHECK(rig.session->due() - rig.now <= Millis(500));
  }
  const double bounds[] = {500, 1000, 2000, 4000, 5000, 5000, 5000, 5000};
  for (int i = 0; i < 8; ++i)
    CHECK((longest[i] <= bounds[i] && longest[i] > 0.95 * bounds[i]));
  CHECK((sum / 400 > 2200 && sum / 400 < 2800));
}

TEST_CASE("session: a node that refused for a while is not asked again in that time, others are") {
  SessionRig rig;
  CHECK(rig.next_connect() == "a");
  rig.session->on_connected(rig.now);
  const Millis refused = rig.now;
  rig.session->on_message(control::Refusal{RefusalReason::busy, Millis(20000), {}}, rig.now);
  CHECK_FALSE(rig.transport.connected);
  CHECK(rig.count("refused.busy") == 1);
  CHECK(rig.next_connect() == "b");
  CHECK(rig.now - refused <= Millis(500));
  rig.session->on_connected(rig.now);
  rig.session->on_message(control::Refusal{RefusalReason::full, Millis(50000), {}}, rig.now);
  CHECK(rig.next_connect() == "a");  // both wait: the one whose wait ends first
  CHECK((rig.now - refused >= Millis(20000) && rig.now - refused <= Millis(40000)));
}

TEST_CASE("session: a node that is going to end sends its sessions away, and says where") {
  SessionRig rig({node_at("a", "z1", "r1")});
  rig.open();
  rig.grant(1, rig.lease());
  const NodeAddress other = node_at("c", "z1", "r1");
  rig.session->on_message(control::Refusal{RefusalReason::draining, Millis(0), {other}}, rig.now);
  CHECK(rig.session->holds_lease(rig.now));
  CHECK(rig.next_connect() == "c");
}

TEST_CASE("session: connecting and opening are given up after their time") {
  SessionRig rig;
  rig.next_connect();
  rig.run(Millis(999));
  CHECK(rig.transport.connected);
  rig.run(Millis(1));
  CHECK_FALSE(rig.transport.connected);
  rig.next_connect();
  rig.now += Millis(600);
  rig.session->on_connected(rig.now);
  rig.run(Millis(999));
  CHECK(rig.transport.connected);
  rig.run(Millis(1));
  CHECK_FALSE(rig.transport.connected);
  CHECK(rig.count("timed_out") == 2);
}

TEST_CASE("session: a renewal that is not answered within half a lease ends it") {
  SessionRig rig;
  rig.open();
  rig.grant(1, rig.lease());
  rig.run(rig.beat());
  rig.run(rig.lease() / 2 - Millis(1));
  CHECK(rig.session->open());
  CHECK(rig.sent<control::Renew>().size() == 3);  // and few are outstanding
  rig.run(Millis(1));
  CHECK_FALSE(rig.session->open());
  CHECK(rig.count("silent") == 1);
  CHECK(rig.session->holds_lease(rig.now));
}

TEST_CASE("session: it leaves a node that grants nothing for a lease, and reaches one beyond its region") {
  SessionRig rig(kThreeRegions);
  for (const char* name : {"here", "near", "far"}) {
    CHECK(rig.open() == name);
    const Millis opened = rig.now;
    rig.grant(1, Millis(0));
    while (rig.session->open())
      rig.run_granting(rig.beat(), Millis(0));
    const Millis stayed = rig.now - opened;
    CHECK((stayed > rig.lease() && stayed <= rig.lease() + rig.beat()));
  }
  CHECK(rig.count("leaseless") == 3);
}

TEST_CASE("session: it stays where a snapshot is coming in, though nothing is granted in the meantime") {
  SessionRig rig;
  rig.open();
  const std::string bytes = control::encode_records({{"key", std::string(100, 'v')}});
  rig.grant(1, Millis(0));
  for (std::size_t offset = 0; offset < bytes.size(); offset += 4) {
    rig.session->on_message(control::SnapshotChunk{9, offset, bytes.size(), bytes.substr(offset, 4)},
                            rig.now);
    rig.run_granting(rig.beat(), Millis(0));
  }
  CHECK(rig.session->open());
  CHECK(rig.replica.position() == 9);
}

TEST_CASE("session: whatever the pacing, ticks at the due time come to an end") {
  for (const double figure : {0.0, 0.001, 1.0}) {
    SessionRig rig;
    rig.config.terms.lease = Millis(figure);
    rig.config.pacing = {Millis(figure), Millis(figure), Millis(figure)};
    rig.start(1);
    int ticks = 0;
    for (const Millis end = rig.now + Millis(1000); rig.session->due() <= end; ++ticks) {
      rig.now = std::max(rig.now, rig.session->due());
      rig.session->tick(rig.now);
      if (ticks % 3 == 0 && rig.transport.connected)
        rig.welcome();
      REQUIRE(ticks < 10000);
    }
  }
  SessionRig none(std::vector<NodeAddress>{});
  none.session->tick(none.now);
  CHECK(std::isinf(none.session->due().count()));
}

}  // namespace
}  // namespace lotusyard::test
