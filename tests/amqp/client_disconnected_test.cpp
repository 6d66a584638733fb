// A broker closes the connection of an open delivery. The delivery returns to its queue, and no attempt
// starts for it until it is delivered to this process again.
#include "support/amqp_fixture.h"

namespace lotusyard::test {
namespace {

// Closes at once, not at the end of the iteration.
void close_broker(AmqpFixture& t) {
  const auto peers = t.broker.server.peers;
  for (const auto& peer : peers) {
    peer->close_later();
    peer->flush();
  }
}

// Guards against starting an attempt after the broker has disconnected: nobody would receive its answer, and
// the delivery may already be with another consumer.
TEST_CASE("after the broker has disconnected no attempt starts for a delivery until it is delivered again") {
  AmqpFixture t(2);
  t.broker.send("a", "bin-check", "warm up");
  REQUIRE(t.wait_for_answer("a"));
  REQUIRE(t.wait_until_settled());
  const auto execs = [&] { return t.invoker.host[0]->execs + t.invoker.host[1]->execs; };
  const int before = execs();
  const bool retry = GENERATE(false, true);
  bool disconnected = false;
  const auto disconnect = [&] {
    close_broker(t);
    t.broker.server.stop();  // no new connection is accepted
    disconnected = true;
  };
  for (auto& host : t.invoker.host) {
    host->handler = [&](const std::string&) {
      if (!disconnected)
        disconnect();
      return Reaction{Reaction::reply, "full"};
    };
  }
  t.broker.send("b", "bin-check", "x");
  while (!disconnected) {
    t.invoker.loop.run_once(t.invoker.loop.now() + Millis(20), [&] {
      t.invoker.dispatcher.tick();
      if (!retry && t.invoker.dispatcher.open_calls() > 0)
        disconnect();  // the attempt is decided, but not written yet
    });
  }
  const Millis until = t.invoker.loop.now() + Millis(300);
  REQUIRE(t.invoker.run_until([&] { return t.invoker.loop.now() >= until; }));
  CHECK(execs() - before == (retry ? 1 : 0));
  CHECK(t.invoker.counters.value("amqp.down") > 0);
}

TEST_CASE("a delivery that is redelivered while its call waits continues that call, which runs once") {
  AmqpFixture t(1);
  t.broker.send("a", "bin-check", "warm up");
  REQUIRE(t.wait_for_answer("a"));
  REQUIRE(t.wait_until_settled());
  t.broker.send("b", "bin-record", "x");
  bool disconnected = false;
  while (!disconnected) {
    t.invoker.loop.run_once(t.invoker.loop.now() + Millis(20), [&] {
      t.invoker.dispatcher.tick();
      if (disconnected || t.invoker.dispatcher.open_calls() == 0)
        return;
      close_broker(t);
      disconnected = true;
    });
  }
  REQUIRE(t.wait_for_answer("b"));
  REQUIRE(t.wait_until_settled());
  CHECK(result_word(t.broker.answers_by_id["c-b"][0]) == "OK");
  CHECK(t.invoker.host[0]->runs["x"] == 1);
}

}  // namespace
}  // namespace lotusyard::test
