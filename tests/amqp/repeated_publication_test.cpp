// A client publishes a message again after it was rejected, or its broker delivers one again: what is known
// of one publication proves nothing about another.
#include "idempotency/sqlite_result_store.h"
#include "support/amqp_fixture.h"
#include "support/store_file.h"

namespace lotusyard::test {
namespace {

amqp::FrontEnd::Limits limits_with(bool sole_consumer) {
  amqp::FrontEnd::Limits limits;
  limits.sole_consumer = sole_consumer;
  return limits;
}

struct RepeatFixture : AmqpFixture {
  explicit RepeatFixture(bool sole_consumer = false, idempotency::ResultStore* store = nullptr)
      : AmqpFixture(1, 1, limits_with(sole_consumer), settings(), store) {}

  // Publishes the bin-record "a", or delivers it again.
  void deliver(const std::string& correlation, bool redelivered, std::int64_t allow_ms = 1500) {
    StandInBroker::Message message;
    message.properties.message_id = "a";
    message.properties.correlation_id = "c-" + correlation;
    message.properties.reply_to = "answers";
    message.properties.headers = {{"class", std::string("bin-record")},
                                  {"lookup", std::string("00000000000000a1")},
                                  {"allow", allow_ms}};
    message.body = "bin";
    message.redelivered = redelivered;
    broker.enqueue(std::move(message));
  }
  std::vector<std::string> words(const std::string& correlation) {
    std::vector<std::string> out;
    for (const auto& answer : broker.answers_by_id["c-" + correlation])
      out.push_back(result_word(answer));
    return out;
  }
  void set_full(bool full) {
    invoker.host[0]->handler = [full](const std::string&) {
      return Reaction{Reaction::reply, full ? "full" : "data"};
    };
  }
  // The first publication is rejected, because the host is full. From then on the host would run the call.
  void reject_first(const std::string& correlation = "1") {
    set_full(true);
    deliver(correlation, false);
    REQUIRE(wait_for_answer(correlation));
    REQUIRE(words(correlation) == std::vector<std::string>{"BUSY"});
    REQUIRE(wait_until_settled());
    set_full(false);
  }
  void drop_connection() {
    const auto connections = invoker.counters.value("amqp.up");
    broker.drop_all();
    REQUIRE(invoker.run_until([&] { return invoker.counters.value("amqp.up") > connections; }, 20000));
  }
  int runs() { return invoker.host[0]->runs["bin"]; }
  void wait_until_acknowledged(std::size_t count) {
    REQUIRE(invoker.run_until([&] { return broker.acked >= count; }, 20000));
    REQUIRE(wait_until_settled());
  }
};

const std::vector<std::string> kFailed{"FAILED"};

// Guards against a bin-record that ran at another consumer and is answered BUSY: its client sends it again,
// and it runs twice.
TEST_CASE("a rejection proves nothing about a later publication that is redelivered from another consumer") {
  RepeatFixture t;
  t.reject_first();
  t.deliver("2", true);  // another consumer got it first, and may have run it
  REQUIRE(t.wait_for_answer("2"));
  CHECK(t.words("2") == kFailed);
  CHECK(t.invoker.counters.value("amqp.remembered") == 0);
  CHECK(t.invoker.counters.value("amqp.may_have_run") == 1);
  t.deliver("3", false);  // although it must not be published again after FAILED
  REQUIRE(t.wait_for_answer("3"));
  CHECK(t.words("3") == kFailed);
  CHECK(t.runs() == 0);
}

// Guards against the same for a client that uses one correlation id for all publications.
TEST_CASE(
    "a rejected publication that was acknowledged on the open channel is not the one redelivered there") {
  RepeatFixture t;
  t.reject_first();
  t.deliver("1", true);
  REQUIRE(t.wait_for_answer("1", 2));
  CHECK(t.words("1") == std::vector<std::string>{"BUSY", "FAILED"});
  CHECK(t.runs() == 0);
}

TEST_CASE("publications with one correlation id are told apart by the time that their client still waits") {
  RepeatFixture t;
  t.reject_first();
  t.drop_connection();
  t.deliver("1", true, 900);
  REQUIRE(t.wait_for_answer("1", 2));
  CHECK(t.words("1") == std::vector<std::string>{"BUSY", "FAILED"});
  CHECK(t.runs() == 0);
}

TEST_CASE("a rejected publication whose acknowledgement was lost gets no second answer") {
  RepeatFixture t;
  t.reject_first();
  t.drop_connection();
  t.deliver("1", true);
  t.wait_until_acknowledged(2);
  CHECK(t.words("1") == std::vector<std::string>{"BUSY"});
}

TEST_CASE("a rejection that the broker did not confirm is published again, and stays the same") {
  RepeatFixture t;
  t.set_full(true);
  t.broker.withholds_confirms = true;
  t.deliver("1", false);
  REQUIRE(t.wait_for_answer("1"));
  t.broker.withholds_confirms = false;
  t.drop_connection();  // the broker delivers it again
  REQUIRE(t.wait_for_answer("1", 2));
  REQUIRE(t.wait_until_settled());
  CHECK(t.words("1") == std::vector<std::string>{"BUSY", "BUSY"});
  CHECK(t.runs() == 0);
}

TEST_CASE("the sole consumer answers a redelivered publication with the rejection: nobody can have run it") {
  RepeatFixture t(true);
  t.reject_first();
  t.deliver("2", true);
  REQUIRE(t.wait_for_answer("2"));
  CHECK(t.words("2") == std::vector<std::string>{"BUSY"});
  t.deliver("3", false);
  REQUIRE(t.wait_for_answer("3"));
  CHECK(t.words("3") == std::vector<std::string>{"OK"});
  CHECK(t.runs() == 1);
}

// Guards against a second, different answer to a rejected publication.
TEST_CASE(
    "a rejected publication that is redelivered while a later one runs is acknowledged and joins nothing") {
  RepeatFixture t;
  t.reject_first();
  t.invoker.host[0]->handler = [](const std::string&) { return Reaction{Reaction::silence, ""}; };
  const int execs = t.invoker.host[0]->execs;
  t.deliver("2", false);
  REQUIRE(t.invoker.run_until([&] { return t.invoker.host[0]->execs > execs; }, 20000));
  t.deliver("1", true);
  REQUIRE(t.invoker.run_until([&] { return t.broker.acked == 2; }, 20000));
  REQUIRE(t.wait_for_answer("2"));
  CHECK(t.words("1") == std::vector<std::string>{"BUSY"});
  CHECK(t.words("2") == kFailed);
}

// Guards against BUSY for a delivery that another consumer may have run, because the call that it joined is
// rejected.
TEST_CASE("a call is not rejected if a delivery of another consumer has joined it") {
  RepeatFixture t;
  t.set_full(true);
  t.deliver("1", false);
  t.deliver("2", true);
  REQUIRE((t.wait_for_answer("1") && t.wait_for_answer("2")));
  CHECK(t.words("1") == kFailed);
  CHECK(t.words("2") == kFailed);
}

// Guards against a rejection that is read back from the store as a proof about a later publication.
TEST_CASE("a stored rejection proves nothing about a later publication, also after a restart") {
  StoreFile file("rejection");
  {
    OpenStore store(file);
    RepeatFixture t(false, &store.store);
    t.reject_first();
  }
  {
    OpenStore store(file);
    RepeatFixture t(false, &store.store);
    t.deliver("2", true);
    REQUIRE(t.wait_for_answer("2"));
    CHECK(t.words("2") == kFailed);
    CHECK(t.runs() == 0);
  }
  OpenStore store(file);
  RepeatFixture t(false, &store.store);
  t.deliver("3", false);  // the answer to the second publication is what the store holds now
  REQUIRE(t.wait_for_answer("3"));
  CHECK(t.words("3") == kFailed);
  CHECK(t.runs() == 0);
}

TEST_CASE("a rejected publication whose acknowledgement was lost gets no second answer after a restart") {
  StoreFile file("acknowledgement");
  {
    OpenStore store(file);
    RepeatFixture t(false, &store.store);
    t.reject_first();
  }
  OpenStore store(file);
  RepeatFixture t(false, &store.store);
  t.deliver("1", true);
  t.wait_until_acknowledged(1);
  CHECK(t.words("1").empty());
}

// Guards against an answer that is never published, because the rejection of an earlier publication with the
// same correlation id is still to be confirmed, or is confirmed in its place.
TEST_CASE("a later publication gets its own answer though the earlier rejection is confirmed late") {
  RepeatFixture t;
  t.set_full(true);
  t.broker.withholds_confirms = true;
  t.deliver("1", false);
  REQUIRE(t.wait_for_answer("1"));
  t.set_full(false);
  t.deliver("1", false);
  REQUIRE(t.wait_for_answer("1", 2));
  CHECK(t.words("1") == std::vector<std::string>{"BUSY", "OK"});
  constexpr std::uint64_t kRejection = 1;  // the number of its message
  t.broker.server.peers.front()->send_method(amqp::method::basic_ack, 1,
                                             amqp::Writer().u64(kRejection).u8(0));
  REQUIRE(t.invoker.run_until([&] { return t.broker.acked == 1; }, 20000));
  t.broker.withholds_confirms = false;
  t.drop_connection();  // the broker delivers the later publication again
  REQUIRE(t.wait_until_settled());
  CHECK(t.words("1") == std::vector<std::string>{"BUSY", "OK", "OK"});
  CHECK(t.broker.acked == 2);
  CHECK(t.runs() == 1);
}

}  // namespace
}  // namespace lotusyard::test
