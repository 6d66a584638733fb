// Durable answers: what is decided, what a killed process leaves, and both behind the front.
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

struct File {  // a store's path, removed with what SQLite puts beside it
  explicit File(const std::string& name)
      : path("answers-test-" + name + "-" + std::to_string(getpid()) + ".db") {
    remove();
  }
  ~File() { remove(); }
  void remove() const {
    for (const char* end : {"", "-wal", "-shm"})
      std::remove((path + end).c_str());
  }
  std::string path;
};

struct Opened {
  explicit Opened(const File& file, const Bounds& bounds = {}, double now = kNow)
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
  r.at = Millis(at);
  return r;
}

TEST_CASE("what a store tells decides whether a redelivered call may run") {
  StoreTrust trust;
  trust.healthy = true;
  const DeliveryFacts fresh, again{true, std::nullopt};
  CHECK(decide(std::nullopt, fresh, trust) == Decision::run);
  CHECK(decide(std::nullopt, again, trust) == Decision::fail_may_have_run);
  for (const auto& arrival : {fresh, again}) {
    CHECK(decide(record(ResultStage::sent), arrival, trust) == Decision::fail_may_have_run);
    CHECK(decide(record(ResultStage::cleared), arrival, trust) == Decision::run);
    CHECK(decide(record(ResultStage::answered), arrival, trust) == Decision::answer);
    CHECK(decide(record(ResultStage::confirmed, CallStatus::failed), arrival, trust) == Decision::answer);
  }
  CHECK(decide(record(ResultStage::answered, CallStatus::rejected), fresh, trust) == Decision::run);
  CHECK(decide(record(ResultStage::answered, CallStatus::rejected), again, trust) == Decision::answer);
  // Not in the store shows that it did not run only at the sole consumer, and for what is young enough.
  trust.complete_from = Millis(kNow);
  const DeliveryFacts young{true, Millis(kNow) + kClockSkew}, old{true, Millis(kNow) + kClockSkew / 2};
  CHECK(decide(std::nullopt, young, trust) == Decision::fail_may_have_run);
  trust.sole_consumer = true;
  CHECK(decide(std::nullopt, young, trust) == Decision::run);
  CHECK(decide(std::nullopt, old, trust) == Decision::fail_may_have_run);
  trust.healthy = false;
  CHECK(decide(std::nullopt, fresh, trust) == Decision::refuse_unrecorded);
  CHECK(decide(std::nullopt, young, trust) == Decision::fail_may_have_run);
}

// Calls that are delivered, sent, run or not, answered, confirmed and forgotten in any order, by a process
// that is killed between any two steps: whatever is decided, none runs twice.
TEST_CASE("no series of deliveries, ends and kills runs a call twice") {
  Random random(11);
  for (int round = 0; round < 3000; ++round) {
    std::optional<ResultRecord> stored;
    StoreTrust trust{true, below(random, 2) == 0, Millis(0)};
    const Millis published(1e6);
    int runs = 0;
    bool open = false, may_have_run = false;
    for (int step = 0; step < 30; ++step) {
      const std::size_t dice = below(random, 8);
      const auto write = [&](ResultStage to, CallStatus status = CallStatus::succeeded) {
        if (!may_follow(stored ? std::optional<ResultStage>(stored->stage) : std::nullopt, to))
          return false;
        stored = record(to, status);
        return true;
      };
      if (dice < 3 && !open) {
        trust.healthy = below(random, 10) > 0;
        const DeliveryFacts arrival{step > 0, published};
        open = decide(stored, arrival, trust) == Decision::run;
        may_have_run = false;
      } else if (dice < 5 && open && !may_have_run) {
        if (!write(ResultStage::sent))
          continue;
        if (below(random, 3) == 0)
          continue;  // killed or cut off before it ran; nobody knows
        const bool ran = below(random, 2) == 0;
        runs += ran;
        may_have_run = ran;
        if (!ran)
          write(ResultStage::cleared);
      } else if (dice == 5 && open) {
        write(ResultStage::answered, may_have_run ? CallStatus::succeeded : CallStatus::rejected);
        open = false;
      } else if (dice == 6) {
        write(ResultStage::confirmed);
      } else if (dice == 7) {
        open = false;  // killed
        if (stored && below(random, 4) == 0) {
          stored.reset();  // pruned: what came before can no longer be vouched for
          trust.complete_from = published + kClockSkew;
        }
      }
      REQUIRE(runs <= 1);
    }
  }
}

// Each step is the last thing that a process does before it is killed.
TEST_CASE("a process killed after any step of the store leaves what it wrote") {
  const ResultStage steps[] = {ResultStage::sent, ResultStage::cleared, ResultStage::sent,
                               ResultStage::answered, ResultStage::confirmed};
  for (int last = 0; last <= 5; ++last) {
    File file("kill");
    const pid_t child = fork();
    if (child == 0) {
      Opened opened(file);
      for (int i = 0; i < last; ++i)
        opened.store.put("m", record(steps[i]));
      kill(getpid(), SIGKILL);
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    REQUIRE((WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL));
    Opened opened(file, {}, kNow + 1000);
    std::optional<ResultRecord> found;
    REQUIRE(opened.store.find("m", found));
    CHECK(opened.store.complete_from() == Millis(kNow));
    REQUIRE(found.has_value() == (last > 0));
    if (last > 0)
      CHECK(found->stage == steps[last - 1]);
    if (last >= 4)
      CHECK(found->answer.body == "body");
  }
}

TEST_CASE("a store keeps within its bounds; what may have run goes by age only") {
  File file("bounds");
  Bounds bounds;
  bounds.most = 10;
  bounds.longest = Millis(1000);
  Opened opened(file, bounds);
  for (int i = 0; i < 6; ++i)
    REQUIRE(opened.store.put("sent" + std::to_string(i), record(ResultStage::sent)));
  for (int i = 0; i < 20; ++i) {
    opened.store.put("done" + std::to_string(i),
                     record(ResultStage::answered, CallStatus::succeeded, kNow + i));
    opened.store.prune(Millis(kNow + i));
  }
  CHECK(opened.store.size() == 10);
  std::optional<ResultRecord> found;
  REQUIRE(opened.store.find("sent0", found));
  CHECK(found.has_value());
  CHECK(opened.store.complete_from() == Millis(kNow + 15));  // the newest that was forgotten
  for (int i = 6; i < 20; ++i)
    opened.store.put("sent" + std::to_string(i), record(ResultStage::sent));
  opened.store.prune(Millis(kNow + 30));
  CHECK(opened.store.size() <= 11);
  CHECK(opened.counters.value("answers.store_bound") > 0);  // and a further call is not begun
  opened.store.prune(Millis(kNow + 2000));
  CHECK(opened.store.size() == 0);
}

TEST_CASE("with a damaged or full store no bin-record is begun, and bin-check goes on") {
  File file("damaged");
  const bool full = GENERATE(false, true);
  if (!full)
    std::ofstream(file.path) << std::string(5000, 'x');
  Opened opened(file);
  if (full)
    opened.store.limit_pages(1);
  CHECK(opened.store.healthy() == full);
  AmqpFixture t(1, 1, {}, settings(), &opened.store);
  t.broker.send("check", "bin-check", "x");
  REQUIRE(t.wait_for_answer("check"));
  CHECK(result_word(t.broker.answers_by_id["c-check"][0]) == "OK");
  const std::string stem(200, 'r');  // ids that soon fill what pages are left
  for (int i = 0; i < 60; ++i)
    t.broker.send(stem + std::to_string(i), "bin-record", "y");
  REQUIRE(t.wait_for_answer(stem + "59"));
  CHECK(result_word(t.broker.answers_by_id["c-" + stem + "59"][0]) == "BUSY");
  CHECK(opened.counters.value(full ? "answers.store_full" : "answers.store_damaged") > 0);
  CHECK(!opened.log.empty());
  if (!full)
    CHECK(t.invoker.host[0]->execs == 1);
}

StandInBroker::Message again(const std::string& id) {
  StandInBroker::Message m;
  m.properties.message_id = id;
  m.properties.correlation_id = "c-" + id;
  m.properties.reply_to = "answers";
  m.properties.headers = {{"class", std::string("bin-record")}, {"lookup", std::string("00000000000000a1")}};
  m.body = id;
  m.redelivered = true;
  return m;
}

TEST_CASE(
    "a restarted process answers a redelivered bin-record from its store, or fails it, or shows it never "
    "ran") {
  File file("restart");
  {
    Opened opened(file);
    AmqpFixture t(1, 1, {}, settings(), &opened.store);
    t.invoker.host[0]->handler = [](const std::string& body) {
      return body == "done" ? Reaction() : Reaction{Reaction::silence, ""};
    };
    t.broker.send("done", "bin-record", "done");
    REQUIRE(t.wait_for_answer("done"));
    t.broker.send("lost", "bin-record", "lost");
    REQUIRE(t.invoker.run_until([&] { return t.invoker.host[0]->execs == 2; }, 20000));
    const double now = t.invoker.loop.now().count();
    opened.store.put("cleared", record(ResultStage::sent, CallStatus::succeeded, now));
    opened.store.put("cleared", record(ResultStage::cleared, CallStatus::succeeded, now));
    opened.store.put("answered", record(ResultStage::answered, CallStatus::succeeded, now));
  }  // as if killed: "lost" is out and its answer never comes
  Opened opened(file);
  AmqpFixture t(1, 1, {}, settings(), &opened.store);
  for (const char* id : {"lost", "cleared", "answered", "done", "never"})
    t.broker.enqueue(again(id));
  REQUIRE(t.wait_for_answer("never"));
  REQUIRE(t.wait_until_settled());
  CHECK(result_word(t.broker.answers_by_id["c-lost"][0]) == "FAILED");
  CHECK(result_word(t.broker.answers_by_id["c-never"][0]) == "FAILED");
  REQUIRE(t.wait_for_answer("cleared"));
  CHECK(result_word(t.broker.answers_by_id["c-cleared"][0]) == "OK");
  CHECK((t.broker.answers_by_id["c-answered"].size() == 1 &&
         t.broker.answers_by_id["c-answered"][0].body == "body"));
  CHECK(t.broker.answers_by_id["c-done"].empty());  // it was confirmed there before: only the ack was lost
  CHECK(t.invoker.host[0]->execs == 1);
}

TEST_CASE("a call whose time ran out in the queue is answered, not run") {
  AmqpFixture t(1);
  auto m = again("late");
  m.properties.headers["class"] = std::string("bin-check");
  m.properties.timestamp = static_cast<std::uint64_t>(t.invoker.loop.now().count() / 1000) - 10;
  m.properties.expiration = "3000";
  t.broker.enqueue(std::move(m));
  REQUIRE(t.wait_for_answer("late"));
  CHECK(result_word(t.broker.answers_by_id["c-late"][0]) == "BUSY");
  CHECK(t.invoker.host[0]->execs == 0);
}

// By hand: what the store costs, paired and in turn. Prints calls a second and the median and 99th percentile
// of the time from a delivery to its published answer.
TEST_CASE("the cost of the durable store", "[.measure]") {
  constexpr int kCalls = 2000;
  for (int pair = 0; pair < 6; ++pair) {
    for (const bool durable : {false, true}) {
      File file("cost");
      std::unique_ptr<Opened> opened;
      if (durable)
        opened = std::make_unique<Opened>(file);
      AmqpFixture t(3, static_cast<std::uint64_t>(pair) + 1, {}, settings(),
                    durable ? &opened->store : nullptr);
      t.broker.send("first", "bin-record", "x");
      REQUIRE(t.wait_for_answer("first"));
      std::vector<double> took;
      const Millis began = t.invoker.loop.now();
      for (int i = 0; i < kCalls; ++i) {
        const std::string id = "m" + std::to_string(i);
        const Millis sent = t.invoker.loop.now();
        t.broker.send(id, "bin-record", "bin of " + id);
        REQUIRE(t.wait_for_answer(id));
        took.push_back((t.invoker.loop.now() - sent).count());
      }
      const double all = (t.invoker.loop.now() - began).count();
      std::sort(took.begin(), took.end());
      std::printf("%s pair %d: %.0f calls/s, median %.3f ms, p99 %.3f ms\n", durable ? "durable" : "memory ",
                  pair, kCalls / all * 1000, took[kCalls / 2], took[kCalls * 99 / 100]);
    }
  }
}

}  // namespace
}  // namespace lotusyard::test
