// The AMQP front's whole path: stand-in broker, core and module, stand-in hosts.
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "support/amqp_fixture.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

TEST_CASE("a delivery is served, its body unchanged, and acknowledged once the answer is confirmed") {
  AmqpFixture t(2);
  const std::string body = std::string("bin\0\r\n\xCE", 7) + std::string(9000, 'x');
  t.broker.send("a", "bin-record", body);
  REQUIRE(t.wait_for_answer("a"));
  const auto& answer = t.broker.answers_by_id["c-a"][0];
  CHECK(result_word(answer) == "OK");
  CHECK(answer.body == body);
  CHECK(answer.properties.message_id == "a");
  REQUIRE(t.wait_until_settled());
  CHECK(t.broker.acked == 1);
}

TEST_CASE("a nacked answer is published again and acknowledged only then") {
  AmqpFixture t(1);
  t.broker.chaos.nack = 1000;
  t.broker.send("a", "bin-check", "x");
  REQUIRE(t.invoker.run_until([&] { return t.invoker.counters.value("amqp.nacked") > 0; }, 20000));
  CHECK(t.broker.acked == 0);
  t.broker.chaos.nack = 0;
  REQUIRE(t.wait_until_settled());
  CHECK(t.broker.acked == 1);
  CHECK(t.broker.answers.size() == 1);
}

TEST_CASE("what a host says is what the answer says") {
  AmqpFixture t(2);
  std::string word = "failed";
  for (auto& h : t.invoker.host) {
    h->handler = [&](const std::string&) {
      return Reaction{word.empty() ? Kind::silence : Kind::reply, word};
    };
  }
  SECTION("an error of a bin-record may have run: failed, and not tried again") {
    t.broker.send("a", "bin-record", "x");
    REQUIRE(t.wait_for_answer("a"));
    CHECK(result_word(t.broker.answers_by_id["c-a"][0]) == "FAILED");
    CHECK(t.invoker.host[0]->execs + t.invoker.host[1]->execs == 1);
  }
  SECTION("hosts that are full prove that it never ran: refused") {
    word = "full";
    t.broker.send("a", "bin-record", "x");
    REQUIRE(t.wait_for_answer("a"));
    CHECK(result_word(t.broker.answers_by_id["c-a"][0]) == "BUSY");
    CHECK(std::get<std::int64_t>(t.broker.answers_by_id["c-a"][0].properties.headers.at("cooldown")) > 0);
    CHECK(t.invoker.host[0]->runs.empty());
  }
  SECTION("a stuck host: failed at the call's own deadline") {
    word.clear();
    t.broker.send("a", "bin-record", "x", {{"allow", std::int64_t{200}}});
    REQUIRE(t.wait_for_answer("a"));
    CHECK(result_word(t.broker.answers_by_id["c-a"][0]) == "FAILED");
    CHECK(t.invoker.host[0]->cancels + t.invoker.host[1]->cancels <= 1);
  }
}

TEST_CASE("a delivery that is open keeps its class's rules when they change; the next one has the new ones") {
  AmqpFixture t(2);
  std::map<std::string, int> tries;
  core::Settings next = settings();
  std::swap(next.classes[0].semantics, next.classes[1].semantics);
  bool changed = false;
  const auto change = [&] {
    if (std::exchange(changed, true))
      return;
    t.invoker.dispatcher.apply_settings(next);
    t.front_end->apply_settings(next);
  };
  for (auto& h : t.invoker.host) {
    h->handler = [&](const std::string& body) {
      change();  // while the first one is out
      return Reaction{Kind::reply, ++tries[body] == 1 ? "failed" : "data"};
    };
  }
  t.broker.send("old", "bin-record", "old");
  REQUIRE(t.wait_for_answer("old"));
  CHECK(result_word(t.broker.answers_by_id["c-old"][0]) == "FAILED");  // it must not run twice
  t.broker.send("new", "bin-record", "new");
  REQUIRE(t.wait_for_answer("new"));
  CHECK(result_word(t.broker.answers_by_id["c-new"][0]) == "OK");  // now it may
  CHECK((tries["old"] == 1 && tries["new"] == 2));
  t.broker.send("check", "bin-check", "check");
  REQUIRE(t.wait_for_answer("check"));
  CHECK(result_word(t.broker.answers_by_id["c-check"][0]) == "FAILED");
}

TEST_CASE("malformed deliveries are failed where they can be answered, else rejected") {
  AmqpFixture t(1);
  t.broker.send("noclass", "no-such-class", "x");
  t.broker.send("badkey", "bin-check", "x", {{"lookup", std::string("zz")}});
  t.broker.send("badallow", "bin-check", "x", {{"allow", std::int64_t{-1}}});
  t.broker.send("big", "bin-check", std::string(20000, 'x'));
  t.broker.enqueue({{}, "no way to answer", false});
  REQUIRE(t.invoker.run_until([&] { return t.broker.acked + t.broker.rejected == 5; }, 20000));
  CHECK(t.broker.rejected == 1);
  for (const char* id : {"noclass", "badkey", "badallow", "big"}) {
    REQUIRE(t.broker.answers_by_id[std::string("c-") + id].size() == 1);
    CHECK(result_word(t.broker.answers_by_id[std::string("c-") + id][0]) == "FAILED");
  }
  CHECK(t.invoker.host[0]->execs == 0);
}

TEST_CASE("a bin-record redelivered to a process that knows nothing of it is failed, not run") {
  AmqpFixture t(1);
  StandInBroker::Message m;
  t.broker.send("fresh", "bin-check", "x");
  REQUIRE(t.wait_for_answer("fresh"));
  m.properties = t.broker.answers[0].properties;
  m.properties.message_id = "old";
  m.properties.correlation_id = "c-old";
  m.properties.reply_to = "answers";
  m.properties.headers = {{"class", std::string("bin-record")}, {"lookup", std::string("00000000000000a1")}};
  m.redelivered = true;
  t.broker.enqueue(std::move(m));
  REQUIRE(t.wait_for_answer("old"));
  CHECK(result_word(t.broker.answers_by_id["c-old"][0]) == "FAILED");
  CHECK(t.invoker.host[0]->execs == 1);
}

TEST_CASE("a keyed call goes out under its key or its id; redelivered, only while its window is open") {
  core::Settings s = settings();
  s.classes[0].semantics = lotusyard::policy::Semantics::idempotent_with_key;
  s.classes[0].key_window = Millis(15000);
  AmqpFixture t(1, 1, {}, s);
  t.broker.send("plain", "bin-check", "x");
  t.broker.send("named", "bin-check", "y", {{"key", std::string("k-1")}});
  t.broker.send("no key can be made of this", "bin-check", "z");
  REQUIRE((t.wait_for_answer("plain") && t.wait_for_answer("named") &&
           t.wait_for_answer("no key can be made of this")));
  CHECK(result_word(t.broker.answers_by_id["c-plain"][0]) == "OK");
  CHECK(result_word(t.broker.answers_by_id["c-no key can be made of this"][0]) == "FAILED");
  REQUIRE(t.invoker.host[0]->fields.size() == 2);
  std::string all = t.invoker.host[0]->fields[0] + ' ' + t.invoker.host[0]->fields[1];
  CHECK(all.find("op=plain,") != std::string::npos);
  CHECK(all.find("op=k-1,") != std::string::npos);
  const auto now = static_cast<std::uint64_t>(t.invoker.loop.now().count() / 1000);
  for (const auto& [id, published] : std::map<std::string, std::optional<std::uint64_t>>{
           {"untold", std::nullopt}, {"young", now - 5}, {"old", now - 16}}) {
    StandInBroker::Message m;
    m.properties.message_id = id;
    m.properties.correlation_id = "c-" + id;
    m.properties.reply_to = "answers";
    m.properties.timestamp = published;
    m.properties.headers = {{"class", std::string("bin-check")}, {"lookup", std::string("00000000000000a1")}};
    m.redelivered = true;
    t.broker.enqueue(std::move(m));
    REQUIRE(t.wait_for_answer(id));
    CHECK(result_word(t.broker.answers_by_id["c-" + id][0]) == (id == "young" ? "OK" : "FAILED"));
  }
  CHECK(t.invoker.host[0]->execs == 3);
}

TEST_CASE("a consumer gone mid-answer: the call runs once and its redelivery gets the one answer") {
  AmqpFixture t(1);
  bool running = false;
  t.invoker.host[0]->handler = [&](const std::string&) {
    running = true;
    t.broker.drop_all();  // the connection breaks while the host works
    return Reaction();
  };
  t.broker.send("a", "bin-record", "x");
  REQUIRE(t.wait_for_answer("a"));
  REQUIRE(t.wait_until_settled());
  CHECK(running);
  CHECK(t.invoker.host[0]->runs["x"] == 1);
  CHECK(t.broker.answers_by_id["c-a"].size() == 1);
  CHECK(result_word(t.broker.answers_by_id["c-a"][0]) == "OK");
}

TEST_CASE("an answer already confirmed is not sent twice when only the ack was lost") {
  AmqpFixture t(1);
  t.broker.send("a", "bin-record", "x");
  REQUIRE(t.wait_for_answer("a"));
  REQUIRE(t.wait_until_settled());
  StandInBroker::Message again;
  again.properties = t.broker.answers[0].properties;
  again.properties.reply_to = "answers";
  again.redelivered = true;
  SECTION("to the same address: acknowledged only") {
    t.broker.enqueue(std::move(again));
    REQUIRE(t.invoker.run_until([&] { return t.broker.acked == 2; }, 20000));
    CHECK(t.broker.answers.size() == 1);
  }
  SECTION("to another address: the remembered answer") {
    again.properties.correlation_id = "c-b";
    t.broker.enqueue(std::move(again));
    REQUIRE(t.wait_for_answer("b"));
    CHECK(t.broker.answers_by_id["c-b"][0].body == "x");
  }
  CHECK(t.invoker.host[0]->execs == 1);
}

TEST_CASE("under drops, redeliveries and reorders no bin-record runs twice and no answer is lost") {
  for (const std::uint64_t seed : {3, 4}) {
    const ChaosResult tally = chaos_run(seed, 150);
    INFO([&] {
      std::ostringstream text;
      tally.print(text);
      return text.str();
    }());
    CHECK(tally.clean());
    CHECK((tally.sent == 150 && tally.served > 0 && tally.dropped > 0 && tally.drains > 0));
  }
}

// The long run, by name only: lotusyard_tests "[soak]", for LOTUSYARD_SOAK_S seconds (600 unless told).
TEST_CASE("the same for ten minutes", "[.soak]") {
  const char* const told = std::getenv("LOTUSYARD_SOAK_S");
  const double seconds = told == nullptr ? 600 : std::atof(told);
  const ChaosResult tally = chaos_run(5, SIZE_MAX, Millis(seconds * 1000));
  tally.print(std::cout);
  CHECK(tally.clean());
}

}  // namespace
}  // namespace lotusyard::test
