// The durable store of results: decisions on redeliveries, what a killed process leaves, and the store behind
// the AMQP front end.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>

#include "idempotency/sqlite_result_store.h"
#include "support/amqp_fixture.h"

namespace lotusyard::test {
namespace {

using namespace idempotency;
using core::CallStatus;

constexpr double kNow = 1e12;

// The path of a store, which is removed together with SQLite's auxiliary files.
struct StoreFile {
  explicit StoreFile(const std::string& name)
      : path("answers-test-" + name + "-" + std::to_string(getpid()) + ".db") {
    remove();
  }
  ~StoreFile() { remove(); }
  void remove() const {
    for (const char* end : {"", "-wal", "-shm"})
      std::remove((path + end).c_str());
  }
  std::string path;
};

struct OpenStore {
  explicit OpenStore(const StoreFile& file, const Bounds& bounds = {}, double now = kNow)
      : store(file.path, bounds, Millis(now), counters,
              [this](const std::string& line) { log.push_back(line); }) {}
  metrics::Counters counters;
  std::vector<std::string> log;
  SqliteResultStore store;
};

ResultRecord record(ResultStage stage, CallStatus status = CallStatus::succeeded, double at = kNow) {
  ResultRecord r;
  r.stage = stage;
  r.answer = {status, Millis(0), stage >= ResultStage::answered ? "body" : ""};
  r.updated_at = Millis(at);
  return r;
}

TEST_CASE("a redelivered call runs only if the store proves that it has not run") {
  StoreTrust trust;
  trust.healthy = true;
  const DeliveryFacts first_delivery, redelivery{true, std::nullopt};
  CHECK(decide(std::nullopt, first_delivery, trust) == Decision::run);
  CHECK(decide(std::nullopt, redelivery, trust) == Decision::fail_may_have_run);
  for (const auto& delivery : {first_delivery, redelivery}) {
    CHECK(decide(record(ResultStage::sent), delivery, trust) == Decision::fail_may_have_run);
    CHECK(decide(record(ResultStage::cleared), delivery, trust) == Decision::run);
    CHECK(decide(record(ResultStage::answered), delivery, trust) == Decision::answer);
    CHECK(decide(record(ResultStage::confirmed, CallStatus::failed), delivery, trust) == Decision::answer);
  }
  CHECK(decide(record(ResultStage::answered, CallStatus::rejected), first_delivery, trust) == Decision::run);
  CHECK(decide(record(ResultStage::answered, CallStatus::rejected), redelivery, trust) == Decision::answer);
  // A missing record proves that the call did not run only at the sole consumer, and only for calls published
  // late enough.
  trust.complete_from = Millis(kNow);
  const DeliveryFacts late_publication{true, Millis(kNow) + kClockSkew},
      early_publication{true, Millis(kNow) + kClockSkew / 2};
  CHECK(decide(std::nullopt, late_publication, trust) == Decision::fail_may_have_run);
  trust.sole_consumer = true;
  CHECK(decide(std::nullopt, late_publication, trust) == Decision::run);
  CHECK(decide(std::nullopt, early_publication, trust) == Decision::fail_may_have_run);
  trust.healthy = false;
  CHECK(decide(std::nullopt, first_delivery, trust) == Decision::refuse_unrecorded);
  CHECK(decide(std::nullopt, late_publication, trust) == Decision::fail_may_have_run);
}

// Calls are delivered, sent, executed or not, answered, confirmed and pruned in random order, by a process
// that is killed between any two steps. No call may run twice.
TEST_CASE("no sequence of deliveries, answers, kills and pruning runs a call twice") {
  Random random(11);
  for (int round = 0; round < 3000; ++round) {
    std::optional<ResultRecord> stored;
    StoreTrust trust{true, below(random, 2) == 0, Millis(0)};
    const Millis published(1e6);
    int runs = 0;
    bool open = false, may_have_run = false;
    for (int step = 0; step < 30; ++step) {
      const std::size_t event = below(random, 8);
      const auto write = [&](ResultStage to, CallStatus status = CallStatus::succeeded) {
        if (!may_follow(stored ? std::optional<ResultStage>(stored->stage) : std::nullopt, to))
          return false;
        stored = record(to, status);
        return true;
      };
      if (event < 3 && !open) {
        trust.healthy = below(random, 10) > 0;
        const DeliveryFacts delivery{step > 0, published};
        open = decide(stored, delivery, trust) == Decision::run;
        may_have_run = false;
      } else if (event < 5 && open && !may_have_run) {
        if (!write(ResultStage::sent))
          continue;
        if (below(random, 3) == 0)
          continue;  // killed or disconnected before it ran, which nobody can know
        const bool ran = below(random, 2) == 0;
        runs += ran;
        may_have_run = ran;
        if (!ran)
          write(ResultStage::cleared);
      } else if (event == 5 && open) {
        write(ResultStage::answered, may_have_run ? CallStatus::succeeded : CallStatus::rejected);
        open = false;
      } else if (event == 6) {
        write(ResultStage::confirmed);
      } else if (event == 7) {
        open = false;  // killed
        if (stored && below(random, 4) == 0) {
          stored.reset();  // pruned: the store has no complete record of earlier calls any more
          trust.complete_from = published + kClockSkew;
        }
      }
      REQUIRE(runs <= 1);
    }
  }
}

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
    OpenStore open_store(file, {}, kNow + 1000);
    std::optional<ResultRecord> found;
    REQUIRE(open_store.store.find("m", found));
    CHECK(open_store.store.complete_from() == Millis(kNow));
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
                         record(ResultStage::answered, CallStatus::succeeded, kNow + i));
    open_store.store.prune(Millis(kNow + i));
  }
  CHECK(open_store.store.size() == 10);
  std::optional<ResultRecord> found;
  REQUIRE(open_store.store.find("sent0", found));
  CHECK(found.has_value());
  CHECK(open_store.store.complete_from() == Millis(kNow + 15));  // the newest record that was removed
  for (int i = 6; i < 20; ++i)
    open_store.store.put("sent" + std::to_string(i), record(ResultStage::sent));
  open_store.store.prune(Millis(kNow + 30));
  CHECK(open_store.store.size() <= 11);
  CHECK(open_store.counters.value("answers.store_bound") > 0);  // no further call may be recorded
  open_store.store.prune(Millis(kNow + 2000));
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
  AmqpFixture t(1, 1, {}, settings(), &open_store.store);
  for (const char* id : {"lost", "cleared", "answered", "done", "never"})
    t.broker.enqueue(redelivery_of(id));
  REQUIRE(t.wait_for_answer("never"));
  REQUIRE(t.wait_until_settled());
  CHECK(result_word(t.broker.answers_by_id["c-lost"][0]) == "FAILED");
  CHECK(result_word(t.broker.answers_by_id["c-never"][0]) == "FAILED");
  REQUIRE(t.wait_for_answer("cleared"));
  CHECK(result_word(t.broker.answers_by_id["c-cleared"][0]) == "OK");
  CHECK((t.broker.answers_by_id["c-answered"].size() == 1 &&
         t.broker.answers_by_id["c-answered"][0].body == "body"));
  CHECK(t.broker.answers_by_id["c-done"].empty());  // its answer was confirmed before: only the ack was lost
  CHECK(t.invoker.host[0]->execs == 1);
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
