// A redelivered call is asked whether it may have run before anything else could reject it: BUSY says that a
// retry is harmless.
#include "support/amqp_fixture.h"
#include "support/store_file.h"

namespace lotusyard::test {
namespace {

constexpr std::uint64_t kMessageAgeS = 10;

struct RedeliveryFixture : AmqpFixture {
  explicit RedeliveryFixture(amqp::FrontEnd::Limits limits = {}, const core::Settings& s = settings(),
                             idempotency::ResultStore* store = nullptr)
      : AmqpFixture(1, 1, limits, s, store) {}

  // Delivers a message that is 10 s old; returns the word of its answer.
  std::string deliver(const std::string& id, bool redelivered, const std::string& expiration = "3000",
                      const std::string& call_class = "bin-record") {
    StandInBroker::Message message;
    message.properties.message_id = id;
    message.properties.correlation_id = "c-" + id;
    message.properties.reply_to = "answers";
    message.properties.timestamp =
        static_cast<std::uint64_t>(invoker.loop.now().count() / 1000) - kMessageAgeS;
    message.properties.expiration = expiration;
    message.properties.headers = {{"class", call_class}, {"lookup", std::string("00000000000000a1")}};
    message.body = "bin";
    message.redelivered = redelivered;
    const std::size_t answers = broker.answers_by_id["c-" + id].size();
    broker.enqueue(std::move(message));
    REQUIRE(wait_for_answer(id, answers + 1));
    return result_word(broker.answers_by_id["c-" + id].back());
  }
  int execs() const { return invoker.host[0]->execs; }
};

// Guards against BUSY for a bin-record that ran before its invoker was killed, and whose message has expired
// when it is delivered again: its client sends it again, and it runs twice.
TEST_CASE("an expired bin-record that is redelivered is failed, for it may have run") {
  RedeliveryFixture t;
  CHECK(t.deliver("a", true) == "FAILED");
  CHECK(t.invoker.counters.value("amqp.expired") == 0);
  CHECK(t.invoker.counters.value("amqp.may_have_run") == 1);
  CHECK(t.deliver("a", false) == "FAILED");
  CHECK(t.deliver("b", false) == "BUSY");  // it is new, and nobody waits for it
  CHECK(t.execs() == 0);
}

TEST_CASE("an expired bin-record that is redelivered is answered by its record") {
  StoreFile file("expired");
  OpenStore store(file);
  amqp::FrontEnd::Limits limits;
  limits.sole_consumer = true;
  RedeliveryFixture t(limits, settings(), &store.store);
  const double now = t.invoker.loop.now().count();
  using core::CallStatus;
  using idempotency::ResultStage;
  store.store.put("sent", record(ResultStage::sent, CallStatus::succeeded, now));
  store.store.put("served", record(ResultStage::answered, CallStatus::succeeded, now));
  store.store.put("cleared", record(ResultStage::sent, CallStatus::succeeded, now));
  store.store.put("cleared", record(ResultStage::cleared, CallStatus::succeeded, now));
  CHECK(t.deliver("sent", true) == "FAILED");
  CHECK(t.deliver("served", true) == "OK");
  CHECK(t.deliver("cleared", true) == "BUSY");  // it did not run, and nobody waits for it
  CHECK(t.deliver("unknown", true) == "BUSY");  // the store would have a record of it
  CHECK(t.execs() == 0);
}

// Guards against BUSY for a redelivered call because the invoker has no room for it.
TEST_CASE("a redelivered bin-record is failed where a new one is rejected for want of room") {
  amqp::FrontEnd::Limits limits;
  limits.open_calls = 0;
  RedeliveryFixture t(limits);
  CHECK(t.deliver("new", false, "") == "BUSY");
  CHECK(t.deliver("old", true, "") == "FAILED");
}

// Guards against BUSY for a redelivered keyed call that hosts may not recognise when its client sends it
// again.
TEST_CASE("a redelivered keyed call is rejected only while every host recognises its key") {
  core::Settings s = settings();
  policy::ClassSettings& keyed = s.classes[0];
  keyed.semantics = policy::Semantics::idempotent_with_key;
  const auto answer_with = [&](double window_s, policy::KeyScope scope, bool redelivered, bool has_room) {
    keyed.key_window = Millis(window_s * 1000);
    keyed.scope = scope;
    amqp::FrontEnd::Limits limits;
    limits.open_calls = has_room ? 256 : 0;
    RedeliveryFixture t(limits, s);
    return t.deliver("a", redelivered, has_room ? "3000" : "", "bin-check");
  };
  for (const bool has_room : {true, false}) {
    CAPTURE(has_room);
    CHECK(answer_with(60, policy::KeyScope::all, true, has_room) == "BUSY");
    CHECK(answer_with(9, policy::KeyScope::all, true, has_room) == "FAILED");
    CHECK(answer_with(60, policy::KeyScope::zone, true, has_room) == "FAILED");
    CHECK(answer_with(60, policy::KeyScope::cell, true, has_room) == "FAILED");
    CHECK(answer_with(9, policy::KeyScope::zone, false, has_room) == "BUSY");
  }
}

// Guards against a second run after a class was dropped by one reload and brought back by the next.
TEST_CASE("a bin-record that is redelivered while its class is missing does not run once the class is back") {
  RedeliveryFixture t;
  core::Settings without = settings();
  without.classes.pop_back();
  t.front_end->apply_settings(without);
  CHECK(t.deliver("old", true, "") == "FAILED");
  CHECK(t.deliver("new", false, "") == "FAILED");
  t.front_end->apply_settings(settings());
  CHECK(t.deliver("old", false, "") == "FAILED");
  CHECK(t.execs() == 0);
  CHECK(t.deliver("new", false, "") == "OK");  // it was never accepted
}

TEST_CASE("a bin-record that is redelivered while its class is missing gets its recorded answer") {
  StoreFile file("class");
  OpenStore store(file);
  core::Settings without = settings();
  without.classes.pop_back();
  RedeliveryFixture t({}, without, &store.store);
  store.store.put("served", record(idempotency::ResultStage::answered, core::CallStatus::succeeded,
                                   t.invoker.loop.now().count()));
  CHECK(t.deliver("served", true, "") == "OK");
  CHECK(t.deliver("unknown", true, "") == "FAILED");
}

}  // namespace
}  // namespace lotusyard::test
