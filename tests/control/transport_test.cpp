// Sessions over real sockets: changes reach every invoker through relays that delay, hold, cut and reset, and
// invokers move when their node is gone.
#include "control/control_cluster.h"

namespace lotusyard::test {
namespace {

using Way = Relay::Way;
using Mode = Relay::Mode;

std::string value_of(std::size_t length, int number) {
  return std::string(length, static_cast<char>('a' + number % 26)) + std::to_string(number);
}

TEST_CASE("every change reaches every invoker through connections that delay and divide what they carry") {
  ControlCluster tier;
  tier.add_node();
  for (int i = 0; i < 4; ++i) {
    Relay& relay = *tier.add_invoker().relays[0];
    relay.delay(Way::to_node, Millis(10));
    relay.delay(Way::to_invoker, Millis(20));
  }
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  for (int i = 0; i < 60; ++i) {
    tier.change("key" + std::to_string(i % 7), value_of(1000, i));
    tier.run_once();
  }
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  for (const auto& invoker : tier.invokers) {
    CHECK(invoker->client->replica().position() == tier.index);
    CHECK(invoker->counters.value("control.session.opened") == 1);
    CHECK(invoker->counters.value("control.session.gaps") == 0);
  }
  CHECK(tier.counters.value("control.snapshots") == 4);
}

TEST_CASE("a large state arrives in pieces while changes go on") {
  ControlCluster tier(Millis(3000));
  for (int i = 0; i < 64; ++i)
    tier.records["large" + std::to_string(i)] = value_of(100000, i);
  tier.add_node();
  auto& invoker = tier.add_invoker();
  int changes = 0;
  REQUIRE(tier.run_until([&] {
    if (changes < 200)
      tier.change("small", value_of(100, ++changes));
    return changes == 200 && tier.all_up_to_date();
  }));
  CHECK(invoker.counters.value("control.session.opened") == 1);
  auto& later = tier.add_invoker();  // without a change that would set the node going
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }, Millis(5000)));
  CHECK(later.counters.value("control.session.opened") == 1);
}

TEST_CASE("a way that is held for a while and released loses nothing") {
  ControlCluster tier(Millis(2000));
  tier.add_node();
  auto& invoker = tier.add_invoker();
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  for (const Way way : {Way::to_invoker, Way::to_node}) {
    invoker.relays[0]->set(way, Mode::held);
    for (int i = 0; i < 10; ++i)
      tier.change("key" + std::to_string(i), value_of(100, i));
    tier.wait(Millis(300));
    CHECK((invoker.records() == tier.records) == (way == Way::to_node));
    invoker.relays[0]->set(way, Mode::open);
    REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  }
  CHECK(invoker.counters.value("control.session.opened") == 1);
}

TEST_CASE("an invoker that one way is cut for loses its lease and comes back, and no other notices") {
  const Way way = GENERATE(Way::to_invoker, Way::to_node);
  ControlCluster tier;
  tier.add_node();
  auto& cut = tier.add_invoker();
  auto& other = tier.add_invoker();
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  cut.relays[0]->set(way, Mode::cut);
  tier.change("while", "cut");
  REQUIRE(tier.run_until([&] { return !cut.session().holds_lease(tier.loop.now()); }, Millis(1500)));
  CHECK(tier.run_until([&] { return tier.up_to_date(other); }, Millis(500)));
  cut.relays[0]->set(way, Mode::open);
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  CHECK(other.counters.value("control.session.opened") == 1);
}

TEST_CASE("connections that are closed or reset are made again") {
  ControlCluster tier;
  tier.add_node();
  auto& invoker = tier.add_invoker();
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  for (std::uint64_t round = 1; round <= 4; ++round) {
    Relay& relay = *invoker.relays[0];
    round % 2 == 0 ? relay.reset() : relay.close();
    tier.change("round", std::to_string(round));
    REQUIRE(tier.run_until([&] {
      return tier.all_up_to_date() && invoker.counters.value("control.session.opened") == round + 1;
    }));
  }
  CHECK(tier.counters.value("control.snapshots") == 1);
  CHECK(tier.nodes[0]->links() == 1);
}

TEST_CASE("the invokers of a node that is killed move to another") {
  ControlCluster tier;
  for (int i = 0; i < 2; ++i)
    tier.add_node();
  for (int i = 0; i < 6; ++i)
    tier.add_invoker();
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  const std::size_t killed = tier.nodes[0]->links() > 0 ? 0 : 1;
  const std::size_t moved = tier.nodes[killed]->links();
  REQUIRE(moved > 0);
  tier.nodes[killed].reset();
  tier.change("after", "the kill");
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  CHECK(tier.nodes[1 - killed]->links() == 6);
  CHECK(tier.nodes[1 - killed]->node().sessions().connected() == 6);
  CHECK(tier.counters.value("control.opened") == 6 + moved);
}

TEST_CASE("a node that leaves tells its invokers, and they move") {
  ControlCluster tier;
  for (int i = 0; i < 2; ++i)
    tier.add_node();
  for (int i = 0; i < 6; ++i)
    tier.add_invoker();
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  const std::size_t left = tier.nodes[0]->links() > 0 ? 0 : 1;
  const std::size_t moved = tier.nodes[left]->links();
  tier.nodes[left]->node().shut_down();
  REQUIRE(tier.run_until([&] { return tier.nodes[1 - left]->node().sessions().connected() == 6; }));
  std::uint64_t told = 0;
  for (const auto& one : tier.invokers)
    told += one->counters.value("control.session.refused.leaving");
  CHECK(told >= moved);
  CHECK(tier.run_until([&] { return tier.all_up_to_date() && tier.nodes[left]->links() == 0; }));
}

TEST_CASE("an invoker that closes gives its lease up at once, also when its loop turns no more") {
  ControlCluster tier;
  tier.add_node();
  auto& invoker = tier.add_invoker();
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  invoker.session().close(tier.loop.now());
  invoker.client.reset();
  REQUIRE(tier.run_until([&] { return tier.counters.value("control.closed") == 1; }, Millis(1000)));
  CHECK(tier.run_until([&] { return tier.nodes[0]->links() == 0; }, Millis(2000)));
}

TEST_CASE("a session may be closed from within what its replica's move calls") {
  ControlCluster tier;
  tier.add_node();
  auto& invoker = tier.add_invoker();
  REQUIRE(tier.run_until([&] { return tier.all_up_to_date(); }));
  invoker.client->replica().set_update_listener([&](const control::Change*) {
    if (tier.records.count("end") != 0)
      invoker.session().close(tier.loop.now());
  });
  tier.change("end", "now");
  tier.change("behind", "it");
  REQUIRE(tier.run_until([&] { return tier.counters.value("control.closed") == 1; }, Millis(1000)));
  CHECK(tier.run_until([&] { return tier.nodes[0]->links() == 0; }, Millis(2000)));
  CHECK(invoker.records().count("behind") == 0);
}

TEST_CASE("an address that cannot be connected to is a failed attempt at once, and another node is tried") {
  ControlCluster tier;
  tier.add_node();
  auto& invoker = tier.add_invoker();
  control::Session::Config config;
  config.cluster = "yard";
  config.invoker = "other";
  config.terms = tier.terms;
  config.pacing.max_initial_backoff = config.pacing.max_backoff = Millis(50);
  config.nodes = {{"bad", "no address", "", ""}};
  invoker.client = std::make_unique<control::SessionClient>(tier.loop, invoker.counters, config, 5);
  const auto& counters = invoker.counters;
  CHECK(tier.run_until([&] { return counters.value("control.session.disconnected") >= 3; }, Millis(900)));
  config.nodes.push_back({"n0", tier.nodes[0]->address(), "", ""});
  invoker.client = std::make_unique<control::SessionClient>(tier.loop, invoker.counters, config, 5);
  CHECK(tier.run_until([&] { return tier.all_up_to_date(); }));
}

}  // namespace
}  // namespace lotusyard::test
