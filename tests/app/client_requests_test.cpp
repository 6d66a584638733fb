// Requests of clients: served, malformed, cancelled, and connections with too many faults.
#include "support/resp_fixture.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

TEST_CASE("a client's call is served with its body unchanged") {
  RespFixture service(2);
  Client client(service.invoker, service.front_end.address());
  const std::string body("\0\r\n*3 $\xFF", 8);
  client.send({"CHECK", "1", ""});
  client.call("2", "bin-record", body);
  REQUIRE(client.answer("2") != nullptr);
  CHECK(*client.answer("1") == resp::Words{"1", "UP"});
  CHECK(*client.answer("2") == resp::Words{"2", "OK", "", body});
}

TEST_CASE("malformed input ends its call or its connection, with a counted reason") {
  RespFixture service(1);
  Client client(service.invoker, service.front_end.address());
  SECTION("a call that cannot be read is failed") {
    client.send({"CALL", "1", "bin-check", "ref=12,allow=5", "x"});
    client.send({"CALL", "2", "bin-check"});
    client.send({"CALL", "3", "no-class", "ref=00000000000000aa,allow=9,lookup=00000000000000a1", "x"});
    client.send({"SHOUT", "4"});
    client.send({"CALL", "5", "bin-check",
                 "ref=00000000000000ab,allow=9,lookup=00000000000000a1,spec=memory_mb:much;lanes:4", "x"});
    for (const char* tag : {"1", "2", "3", "4", "5"}) {
      REQUIRE(client.answer(tag) != nullptr);
      CHECK(client.answer(tag)->at(1) == "FAILED");
    }
    CHECK(service.invoker.counters.value("resp.unknown_verb") == 1);
  }
  SECTION("the 33rd open call is rejected") {
    service.invoker.host[0]->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
    for (int i = 1; i <= 33; ++i)
      client.call(std::to_string(i), "bin-check", std::to_string(i));
    REQUIRE(client.answer("33") != nullptr);
    CHECK(client.answer("33")->at(1) == "BUSY");
    CHECK(service.invoker.counters.value("resp.too_many_open") == 1);
  }
  SECTION("a repeated tag, a missing tag or an oversized word closes the connection") {
    const auto which = GENERATE(0, 1, 2);
    if (which < 1)
      client.call("1", "bin-check", "x");
    if (which < 1)
      client.call("1", "bin-check", "y");
    if (which == 1)
      client.send({"CALL", "0"});
    if (which == 2)
      client.send({"CALL", "1", std::string(20000, 'x')});
    CHECK(service.invoker.run_until([&] { return client.closed; }, 20000));
    CHECK(service.invoker.counters.value(which < 1    ? "resp.tag_repeated"
                                         : which == 1 ? "resp.no_tag"
                                                      : "resp.malformed") == 1);
  }
}

TEST_CASE("a client that cancels or disconnects gets no answer, and its attempt is cancelled") {
  RespFixture service(1);
  service.invoker.host[0]->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-record", "x");
  REQUIRE(service.invoker.run_until([&] { return service.invoker.host[0]->execs == 1; }, 20000));
  if (GENERATE(true, false)) {
    client.send({"CANCEL", "1"});
  } else {
    client.close_later();
  }
  REQUIRE(service.invoker.run_until([&] { return service.invoker.host[0]->cancels == 1; }, 20000));
  CHECK(service.invoker.dispatcher.open_calls() == 0);
  CHECK(client.answers.empty());
}

TEST_CASE("calls that are cancelled in the bytes they came in reach no host") {
  RespFixture service(1);
  Client client(service.invoker, service.front_end.address());
  for (int i = 1; i <= 20; ++i)
    client.call(std::to_string(i), "bin-check", std::to_string(i));
  for (int i = 1; i <= 19; ++i)
    client.send({"CANCEL", std::to_string(i)});
  REQUIRE(client.answer("20") != nullptr);
  CHECK(client.answer("20")->at(1) == "OK");
  CHECK(client.answers.size() == 1);
  CHECK(service.invoker.host[0]->runs.size() == 1);
  CHECK(service.invoker.counters.value("resp.taken_back") == 19);
}

TEST_CASE("a connection with too many faults is closed only once its valid calls have their answers") {
  RespFixture service(1);
  Client client(service.invoker, service.front_end.address());
  service.invoker.host[0]->handler = [](const std::string& body) {
    return body == "sound" ? Reaction{Kind::silence, ""} : Reaction();
  };
  client.call("1", "bin-record", "sound", 600);
  REQUIRE(service.invoker.run_until([&] { return service.invoker.host[0]->execs == 1; }, 20000));
  for (int i = 2; i <= 200; ++i)
    client.call(std::to_string(i), "no-class", "x");
  REQUIRE(client.answer("1") != nullptr);
  CHECK(client.answers.size() == 200);
  CHECK(service.invoker.run_until([&] { return client.closed; }));
}

TEST_CASE("a client that repeats a rejected call without end is closed") {
  RespFixture service(1);
  Client client(service.invoker, service.front_end.address());
  for (int i = 1; !client.closed && i < 1000; ++i) {
    client.call(std::to_string(i), "no-class", "x");
    client.answer(std::to_string(i));
  }
  CHECK(client.closed);
  CHECK(service.invoker.counters.value("resp.faults_closed") == 1);
}

}  // namespace
}  // namespace lotusyard::test
