// The durable store of results: what a killed process leaves, and the store behind the AMQP front end.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

#include "support/amqp_fixture.h"
#include "support/store_file.h"

namespace lotusyard::test {
namespace {

using namespace idempotency;
using core::CallStatus;

// A process is killed after each step in turn.
TEST_CASE("a store has every record that a process wrote before it was killed") {
  const ResultStage steps[] = {ResultStage::sent, ResultStage::cleared, ResultStage::sent,
                               ResultStage::answered, ResultStage::confirmed};
  for (int last = 0; last <= 5; ++last) {
    StoreFile file("kill");
    const pid_t child = fork();
    if (child == 0) {
      OpenStore open_store(file);
      for (int i = 0; i < last; ++i)
        open_store.store.put("m", record(steps[i]));
      kill(getpid(), SIGKILL);
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    REQUIRE((WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL));
    OpenStore open_store(file, {}, kStoreNow + 1000);
    std::optional<ResultRecord> found;
    REQUIRE(open_store.store.find("m", found));
    CHECK(open_store.store.complete_from() == Millis(kStoreNow));
    REQUIRE(found.has_value() == (last > 0));
    if (last > 0)
      CHECK(found->stage == steps[last - 1]);
    if (last >= 4)
      CHECK(found->answer.body == "body");
  }
}

TEST_CASE("a store stays within its limits; records of calls that may have run are removed by age only") {
  StoreFile file("bounds");
  Bounds bounds;
  bounds.max_records = 10;
  bounds.max_age = Millis(1000);
  OpenStore open_store(file, bounds);
  for (int i = 0; i < 6; ++i)
    REQUIRE(open_store.store.put("sent" + std::to_string(i), record(ResultStage::sent)));
  for (int i = 0; i < 20; ++i) {
    open_store.store.put("done" + std::to_string(i),
                         record(ResultStage::answered, CallStatus::succeeded, kStoreNow + i));
    open_store.store.prune(Millis(kStoreNow + i));
  }
  CHECK(open_store.store.size() == 10);
  std::optional<ResultRecord> found;
  REQUIRE(open_store.store.find("sent0", found));
  CHECK(found.has_value());
  CHECK(open_store.store.complete_from() == Millis(kStoreNow + 15));  // the newest record that was removed
  for (int i = 6; i < 20; ++i)
    open_store.store.put("sent" + std::to_string(i), record(ResultStage::sent));
  open_store.store.prune(Millis(kStoreNow + 30));
  CHECK(open_store.store.size() <= 11);
  CHECK(open_store.counters.value("answers.store_bound") > 0);  // no further call may be recorded
  open_store.store.prune(Millis(kStoreNow + 2000));
  CHECK(open_store.store.size() == 0);
}

TEST_CASE("with a corrupt or full store non-idempotent calls are rejected, and idempotent ones are served") {
  StoreFile file("damaged");
  const bool full = GENERATE(false, true);
  if (!full)
    std::ofstream(file.path) << std::string(5000, 'x');
  OpenStore open_store(file);
  if (full)
    open_store.store.limit_pages(1);
  CHECK(open_store.store.healthy() == full);
  AmqpFixture t(1, 1, {}, settings(), &open_store.store);
  t.broker.send("check", "bin-check", "x");
  REQUIRE(t.wait_for_answer("check"));
  CHECK(result_word(t.broker.answers_by_id["c-check"][0]) == "OK");
  const std::string stem(200, 'r');  // long ids, to fill the remaining pages soon
  for (int i = 0; i < 60; ++i)
    t.broker.send(stem + std::to_string(i), "bin-record", "y");
  REQUIRE(t.wait_for_answer(stem + "59"));
  CHECK(result_word(t.broker.answers_by_id["c-" + stem + "59"][0]) == "BUSY");
  CHECK(open_store.counters.value(full ? "answers.store_full" : "answers.store_damaged") > 0);
  CHECK(!open_store.log.empty());
  if (!full)
    CHECK(t.invoker.host[0]->execs == 1);
}

StandInBroker::Message redelivery_of(const std::string& id) {
  StandInBroker::Message m;
  m.properties.message_id = id;
  m.properties.correlation_id = "c-" + id;
  m.properties.reply_to = "answers";
  m.properties.headers = {{"class", std::string("bin-record")}, {"lookup", std::string("00000000000000a1")}};
  m.body = id;
  m.redelivered = true;
  return m;
}

TEST_CASE("a restarted process answers, fails or runs a redelivered non-idempotent call by its record") {
  // Another consumer may have run the call whose last attempt here was proven not to have run.
  const bool sole_consumer = GENERATE(false, true);
  StoreFile file("restart");
  {
    OpenStore open_store(file);
    AmqpFixture t(1, 1, {}, settings(), &open_store.store);
    t.invoker.host[0]->handler = [](const std::string& body) {
      return body == "done" ? Reaction() : Reaction{Reaction::silence, ""};
    };
    t.broker.send("done", "bin-record", "done");
    REQUIRE(t.wait_for_answer("done"));
    t.broker.send("lost", "bin-record", "lost");
    REQUIRE(t.invoker.run_until([&] { return t.invoker.host[0]->execs == 2; }, 20000));
    const double now = t.invoker.loop.now().count();
    open_store.store.put("cleared", record(ResultStage::sent, CallStatus::succeeded, now));
    open_store.store.put("cleared", record(ResultStage::cleared, CallStatus::succeeded, now));
    open_store.store.put("answered", record(ResultStage::answered, CallStatus::succeeded, now));
  }  // as if killed: "lost" is in flight and is never answered
  OpenStore open_store(file);
  amqp::FrontEnd::Limits limits;
  limits.sole_consumer = sole_consumer;
  AmqpFixture t(1, 1, limits, settings(), &open_store.store);
  for (const char* id : {"lost", "cleared", "answered", "done", "never"})
    t.broker.enqueue(redelivery_of(id));
  REQUIRE(t.wait_for_answer("never"));
  REQUIRE(t.wait_until_settled());
  CHECK(result_word(t.broker.answers_by_id["c-lost"][0]) == "FAILED");
  CHECK(result_word(t.broker.answers_by_id["c-never"][0]) == "FAILED");
  REQUIRE(t.wait_for_answer("cleared"));
  CHECK(result_word(t.broker.answers_by_id["c-cleared"][0]) == (sole_consumer ? "OK" : "FAILED"));
  CHECK((t.broker.answers_by_id["c-answered"].size() == 1 &&
         t.broker.answers_by_id["c-answered"][0].body == "body"));
  CHECK(t.broker.answers_by_id["c-done"].empty());  // its answer was confirmed before: only the ack was lost
  CHECK(t.invoker.host[0]->execs == (sole_consumer ? 1 : 0));
}

TEST_CASE("a call that expired in the queue is answered and not run") {
  AmqpFixture t(1);
  auto m = redelivery_of("late");
  m.properties.headers["class"] = std::string("bin-check");
  m.properties.timestamp = static_cast<std::uint64_t>(t.invoker.loop.now().count() / 1000) - 10;
  m.properties.expiration = "3000";
  t.broker.enqueue(std::move(m));
  REQUIRE(t.wait_for_answer("late"));
  CHECK(result_word(t.broker.answers_by_id["c-late"][0]) == "BUSY");
  CHECK(t.invoker.host[0]->execs == 0);
}

// To be run by hand: alternates runs with and without the store. Prints calls per second, and the median and
// 99th percentile of the time from a delivery to its published answer.
TEST_CASE("the cost of the durable store", "[.measure]") {
  constexpr int kCalls = 2000;
  for (int pair = 0; pair < 6; ++pair) {
    for (const bool durable : {false, true}) {
      StoreFile file("cost");
      std::unique_ptr<OpenStore> open_store;
      if (durable)
        open_store = std::make_unique<OpenStore>(file);
      AmqpFixture t(3, static_cast<std::uint64_t>(pair) + 1, {}, settings(),
                    durable ? &open_store->store : nullptr);
      t.broker.send("first", "bin-record", "x");
      REQUIRE(t.wait_for_answer("first"));
      std::vector<double> latencies;
      const Millis started_at = t.invoker.loop.now();
      for (int i = 0; i < kCalls; ++i) {
        const std::string id = "m" + std::to_string(i);
        const Millis sent = t.invoker.loop.now();
        t.broker.send(id, "bin-record", "bin of " + id);
        REQUIRE(t.wait_for_answer(id));
        latencies.push_back((t.invoker.loop.now() - sent).count());
      }
      const double all = (t.invoker.loop.now() - started_at).count();
      std::sort(latencies.begin(), latencies.end());
      std::printf("%s pair %d: %.0f calls/s, median %.3f ms, p99 %.3f ms\n", durable ? "durable" : "memory ",
                  pair, kCalls / all * 1000, latencies[kCalls / 2], latencies[kCalls * 99 / 100]);
    }
  }
}

}  // namespace
}  // namespace lotusyard::test
