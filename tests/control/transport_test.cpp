// Sessions over real sockets: changes reach every invoker through relays that delay, hold, cut and reset, and
// invokers reconnect to another node when theirs is stopped.
#include "control/control_cluster.h"

namespace lotusyard::test {
namespace {

using Direction = Relay::Direction;
using Mode = Relay::Mode;

std::string value_of(std::size_t length, int number) {
  return std::string(length, static_cast<char>('a' + number % 26)) + std::to_string(number);
}

TEST_CASE("every change reaches every invoker through connections that delay and divide the stream") {
  ControlCluster cluster;
  cluster.add_node();
  for (int i = 0; i < 4; ++i) {
    Relay& relay = *cluster.add_invoker().relays[0];
    relay.delay(Direction::to_node, Millis(10));
    relay.delay(Direction::to_invoker, Millis(20));
  }
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  for (int i = 0; i < 60; ++i) {
    cluster.change("key" + std::to_string(i % 7), value_of(1000, i));
    cluster.run_once();
  }
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  for (const auto& invoker : cluster.invokers) {
    CHECK(invoker->client->replica().position() == cluster.index);
    CHECK(invoker->counters.value("control.session.opened") == 1);
    CHECK(invoker->counters.value("control.session.gaps") == 0);
  }
  CHECK(cluster.counters.value("control.snapshots") == 4);
}

TEST_CASE("a large snapshot arrives in chunks while changes continue") {
  ControlCluster cluster(Millis(3000));
  for (int i = 0; i < 64; ++i)
    cluster.records["large" + std::to_string(i)] = value_of(100000, i);
  cluster.add_node();
  auto& invoker = cluster.add_invoker();
  int changes = 0;
  REQUIRE(cluster.run_until([&] {
    if (changes < 200)
      cluster.change("small", value_of(100, ++changes));
    return changes == 200 && cluster.all_up_to_date();
  }));
  CHECK(invoker.counters.value("control.session.opened") == 1);
  auto& later = cluster.add_invoker();  // without a change that would make the node send
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }, Millis(5000)));
  CHECK(later.counters.value("control.session.opened") == 1);
}

TEST_CASE("nothing is lost while a direction is held and then opened again") {
  ControlCluster cluster(Millis(2000));
  cluster.add_node();
  auto& invoker = cluster.add_invoker();
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  for (const Direction direction : {Direction::to_invoker, Direction::to_node}) {
    invoker.relays[0]->set(direction, Mode::held);
    for (int i = 0; i < 10; ++i)
      cluster.change("key" + std::to_string(i), value_of(100, i));
    cluster.wait(Millis(300));
    CHECK((invoker.records() == cluster.records) == (direction == Direction::to_node));
    invoker.relays[0]->set(direction, Mode::open);
    REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  }
  CHECK(invoker.counters.value("control.session.opened") == 1);
}

TEST_CASE("an invoker with one direction cut loses its lease and recovers, and no other is affected") {
  const Direction direction = GENERATE(Direction::to_invoker, Direction::to_node);
  ControlCluster cluster;
  cluster.add_node();
  auto& cut = cluster.add_invoker();
  auto& other = cluster.add_invoker();
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  cut.relays[0]->set(direction, Mode::cut);
  cluster.change("while", "cut");
  REQUIRE(cluster.run_until([&] { return !cut.session().holds_lease(cluster.loop.now()); }, Millis(1500)));
  CHECK(cluster.run_until([&] { return cluster.up_to_date(other); }, Millis(500)));
  cut.relays[0]->set(direction, Mode::open);
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  CHECK(other.counters.value("control.session.opened") == 1);
}

TEST_CASE("connections that are closed or reset are established again") {
  ControlCluster cluster;
  cluster.add_node();
  auto& invoker = cluster.add_invoker();
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  for (std::uint64_t round = 1; round <= 4; ++round) {
    Relay& relay = *invoker.relays[0];
    round % 2 == 0 ? relay.reset() : relay.close();
    cluster.change("round", std::to_string(round));
    REQUIRE(cluster.run_until([&] {
      return cluster.all_up_to_date() && invoker.counters.value("control.session.opened") == round + 1;
    }));
  }
  CHECK(cluster.counters.value("control.snapshots") == 1);
  CHECK(cluster.nodes[0]->connection_count() == 1);
}

TEST_CASE("the invokers of a killed node connect to another") {
  ControlCluster cluster;
  for (int i = 0; i < 2; ++i)
    cluster.add_node();
  for (int i = 0; i < 6; ++i)
    cluster.add_invoker();
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  const std::size_t killed = cluster.nodes[0]->connection_count() > 0 ? 0 : 1;
  const std::size_t moved = cluster.nodes[killed]->connection_count();
  REQUIRE(moved > 0);
  cluster.nodes[killed].reset();
  cluster.change("after", "the kill");
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  CHECK(cluster.nodes[1 - killed]->connection_count() == 6);
  CHECK(cluster.nodes[1 - killed]->node().sessions().connected() == 6);
  CHECK(cluster.counters.value("control.opened") == 6 + moved);
}

TEST_CASE("a node that shuts down notifies its invokers, and they connect to another") {
  ControlCluster cluster;
  for (int i = 0; i < 2; ++i)
    cluster.add_node();
  for (int i = 0; i < 6; ++i)
    cluster.add_invoker();
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  const std::size_t left = cluster.nodes[0]->connection_count() > 0 ? 0 : 1;
  const std::size_t moved = cluster.nodes[left]->connection_count();
  cluster.nodes[left]->node().shut_down();
  REQUIRE(cluster.run_until([&] { return cluster.nodes[1 - left]->node().sessions().connected() == 6; }));
  std::uint64_t refused = 0;
  for (const auto& one : cluster.invokers)
    refused += one->counters.value("control.session.refused.leaving");
  CHECK(refused >= moved);
  CHECK(cluster.run_until(
      [&] { return cluster.all_up_to_date() && cluster.nodes[left]->connection_count() == 0; }));
}

TEST_CASE("an invoker that closes releases its lease at once, even if its event loop no longer runs") {
  ControlCluster cluster;
  cluster.add_node();
  auto& invoker = cluster.add_invoker();
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  invoker.session().close(cluster.loop.now());
  invoker.client.reset();
  REQUIRE(cluster.run_until([&] { return cluster.counters.value("control.closed") == 1; }, Millis(1000)));
  CHECK(cluster.run_until([&] { return cluster.nodes[0]->connection_count() == 0; }, Millis(2000)));
}

TEST_CASE("a session may be closed from the update listener of its replica") {
  ControlCluster cluster;
  cluster.add_node();
  auto& invoker = cluster.add_invoker();
  REQUIRE(cluster.run_until([&] { return cluster.all_up_to_date(); }));
  invoker.client->replica().set_update_listener([&](const control::Change*) {
    if (cluster.records.count("end") != 0)
      invoker.session().close(cluster.loop.now());
  });
  cluster.change("end", "now");
  cluster.change("behind", "it");
  REQUIRE(cluster.run_until([&] { return cluster.counters.value("control.closed") == 1; }, Millis(1000)));
  CHECK(cluster.run_until([&] { return cluster.nodes[0]->connection_count() == 0; }, Millis(2000)));
  CHECK(invoker.records().count("behind") == 0);
}

TEST_CASE("an invalid address is a failed attempt at once, and another node is tried") {
  ControlCluster cluster;
  cluster.add_node();
  auto& invoker = cluster.add_invoker();
  control::Session::Config config;
  config.cluster = "yard";
  config.invoker = "other";
  config.terms = cluster.terms;
  config.pacing.max_initial_backoff = config.pacing.max_backoff = Millis(50);
  config.nodes = {{"bad", "no address", "", ""}};
  invoker.client = std::make_unique<control::SessionClient>(cluster.loop, invoker.counters, config, 5);
  const auto& counters = invoker.counters;
  CHECK(cluster.run_until([&] { return counters.value("control.session.disconnected") >= 3; }, Millis(900)));
  config.nodes.push_back({"n0", cluster.nodes[0]->address(), "", ""});
  invoker.client = std::make_unique<control::SessionClient>(cluster.loop, invoker.counters, config, 5);
  CHECK(cluster.run_until([&] { return cluster.all_up_to_date(); }));
}

}  // namespace
}  // namespace lotusyard::test
