// Connections to a stand-in broker: lost, refused, blocked, and what is declared over them.
#include <iostream>
#include <sstream>

#include "support/amqp_fixture.h"

namespace lotusyard::test {
namespace {

TEST_CASE("a broker without the queue, or one that falls silent, is reached anew") {
  AmqpFixture t(1);
  const bool silent = GENERATE(true, false);
  if (silent) {
    t.broker.heartbeat_s = 1;
  } else {
    t.broker.missing_queues = 2;
  }
  const char* const counter = silent ? "amqp.quiet" : "amqp.channel_closed";
  REQUIRE(t.invoker.run_until([&] { return t.invoker.counters.value(counter) > 0; }, 20000));
  t.broker.heartbeat_s = 0;
  // Sent only once the old connection has gone at both ends: a delivery that it lost would come as
  // redelivered.
  const std::uint64_t ups = silent ? 2 : 1;
  const auto anew = [&] {
    return t.invoker.counters.value("amqp.up") >= ups && t.broker.server.peers.size() == 1;
  };
  REQUIRE(t.invoker.run_until(anew, 20000));
  t.broker.send("a", "bin-record", "x");
  REQUIRE(t.wait_for_answer("a"));
  CHECK(result_word(t.broker.answers_by_id["c-a"][0]) == "OK");
  CHECK(t.invoker.host[0]->runs["x"] == 1);
}

TEST_CASE("brokers are tried in turn, and one that closes for a reason is counted by its name") {
  std::string nobody;
  {
    net::Socket closed = net::listen_on("127.0.0.1:0");
    nobody = net::bound_address(closed);
  }
  AmqpFixture t(1, 1, {}, settings(), nullptr, {nobody});
  t.broker.close_code = 320;
  REQUIRE(t.invoker.run_until([&] { return t.broker.closes >= 2; }, 20000));
  t.broker.close_code = 0;
  t.broker.send("a", "bin-record", "x");
  REQUIRE(t.wait_for_answer("a"));
  CHECK(result_word(t.broker.answers_by_id["c-a"][0]) == "OK");
  CHECK(t.invoker.counters.value("amqp.closed.connection_forced") >= 2);
  CHECK(t.invoker.counters.value("amqp.down") >= 4);
}

TEST_CASE("a broker that blocks gets no answers until it unblocks, and then each once") {
  AmqpFixture t(1);
  t.broker.send("first", "bin-check", "x");
  REQUIRE(t.wait_for_answer("first"));
  t.broker.send_method_to_all(amqp::method::connection_blocked, amqp::Writer().short_text("low on memory"));
  REQUIRE(t.invoker.run_until([&] { return t.invoker.counters.value("amqp.blocked") == 1; }, 20000));
  for (int i = 0; i < 10; ++i)
    t.broker.send("m" + std::to_string(i), "bin-record", "y" + std::to_string(i));
  REQUIRE(t.invoker.run_until([&] { return t.invoker.host[0]->execs == 11; }, 20000));
  const Millis began = t.invoker.loop.now();
  t.invoker.run_until([&] { return t.invoker.loop.now() - began > Millis(100); }, 20000);
  CHECK(t.broker.answers.size() == 1);
  t.broker.send_method_to_all(amqp::method::connection_unblocked, amqp::Writer());
  REQUIRE(t.wait_for_answer("m9"));
  REQUIRE(t.wait_until_settled());
  CHECK(t.broker.answers.size() == 11);
}

// What is not confirmed is not acknowledged, so that the broker's prefetch bounds what waits here.
TEST_CASE("with no confirm coming, consuming pauses") {
  AmqpFixture t(1);
  t.broker.withholds_confirms = true;
  for (int i = 0; i < 100; ++i)
    t.broker.send("m" + std::to_string(i), "bin-check", "x");
  REQUIRE(t.wait_for_answer("m15"));
  const Millis began = t.invoker.loop.now();
  t.invoker.run_until([&] { return t.invoker.loop.now() - began > Millis(200); }, 20000);
  CHECK(t.broker.answers.size() == 16);  // the prefetch of these tests
  CHECK(t.invoker.counters.value("amqp.deliveries") == 16);
}

amqp::Topology topology_of_calls() {
  amqp::Declaration exchange, queue, binding;
  exchange.kind = amqp::Declaration::Kind::exchange;
  exchange.name = "bins";
  queue.name = "calls";
  queue.key = "amqp.topology.queues[0]";
  queue.arguments = {{"x-message-ttl", std::int64_t{5000}}, {"x-dead-letter-exchange", std::string("dead")}};
  binding.kind = amqp::Declaration::Kind::binding;
  binding.queue = "calls";
  binding.exchange = "bins";
  return {exchange, queue, binding};
}

TEST_CASE("what the file wants is declared in its order; a mismatch names its key and is not hurried") {
  AmqpFixture t(1, 1, {}, settings(), nullptr, {}, topology_of_calls());
  const bool fits = GENERATE(true, false);
  if (!fits)
    t.broker.queues["calls"] = {{"x-message-ttl", std::int64_t{1}}};
  std::ostringstream said;
  auto* const before = std::cerr.rdbuf(said.rdbuf());
  t.broker.send("a", "bin-check", "x");
  if (fits) {
    CHECK(t.wait_for_answer("a"));
    CHECK(t.broker.queues["calls"].size() == 2);
    CHECK(t.broker.bindings == 1);
  } else {
    CHECK(t.invoker.run_until(
        [&] { return t.invoker.counters.value("amqp.closed.precondition_failed") == 1; }, 20000));
    CHECK(said.str().find("amqp.topology.queues[0]: the broker refuses for good: 406") != std::string::npos);
  }
  std::cerr.rdbuf(before);
}

TEST_CASE("a consumer that the broker cancels is made again over the same connection, its queue too") {
  AmqpFixture t(1, 1, {}, settings(), nullptr, {}, topology_of_calls());
  t.broker.send("a", "bin-check", "x");
  REQUIRE(t.wait_for_answer("a"));
  REQUIRE(t.broker.server.peers.size() == 1);
  t.broker.queues.clear();  // it is deleted
  t.broker.server.peers.front()->consuming = false;
  t.broker.server.peers.front()->send_method(amqp::method::basic_cancel, 1,
                                             amqp::Writer().short_text("lotusyard-0").u8(0));
  REQUIRE(t.invoker.run_until([&] { return t.broker.queues.count("calls") == 1; }, 20000));
  t.broker.send("b", "bin-check", "y");
  REQUIRE(t.wait_for_answer("b"));
  CHECK(t.invoker.counters.value("amqp.down") == 0);
}

}  // namespace
}  // namespace lotusyard::test
