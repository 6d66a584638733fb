// Answers of hosts that are incomplete, malformed, too long, or more than one for a call.
#include "support/resp_fixture.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

TEST_CASE("incomplete answers are bounded over all connections: the one that uses most memory is closed") {
  hosts::Limits limits = InvokerFixture::limits();
  limits.max_incoming_bytes = 300000;
  limits.max_attempts_per_connection = 1;
  RespFixture service(1, {}, limits);
  service.invoker.host[0]->handler = [](const std::string& body) {  // only half of each arrives
    return Reaction{Kind::stall, "data", body == "most" ? std::size_t{500000} : std::size_t{200000}};
  };
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-record", "most");
  client.call("2", "bin-record", "less");
  REQUIRE(service.invoker.run_until([&] { return service.invoker.counters.value("hosts.links_ended") == 1; },
                                    20000));
  CHECK(service.invoker.counters.value("hosts.no_memory") == 1);
  CHECK(service.invoker.counters.value("hosts.cut_answers") == 0);
  REQUIRE(client.answer("1") != nullptr);
  CHECK(client.answer("1")->at(1) == "FAILED");
  CHECK(client.answers.size() == 1);
}

TEST_CASE(
    "after an incomplete answer or a closed connection a bin-record fails and a bin-check is retried "
    "elsewhere") {
  RespFixture service(2);
  const auto kind = GENERATE(Kind::partial_reply, Kind::hang_up);
  int broken = 0;
  for (auto& h : service.invoker.host) {
    h->handler = [&](const std::string&) { return broken++ == 0 ? Reaction{kind, "data"} : Reaction(); };
  }
  Client client(service.invoker, service.front_end.address());
  const bool record = GENERATE(true, false);
  client.call("1", record ? "bin-record" : "bin-check", "x");
  REQUIRE(client.answer("1") != nullptr);
  CHECK(client.answer("1")->at(1) == (record ? "FAILED" : "OK"));
  CHECK(service.invoker.host[0]->execs + service.invoker.host[1]->execs == (record ? 1 : 2));
}

TEST_CASE("a malformed or incomplete answer closes its connection once; the host still gets calls") {
  RespFixture service(1);
  const auto kind = GENERATE(Kind::malformed_reply, Kind::stall, Kind::silence);
  int execs = 0;
  service.invoker.host[0]->handler = [&](const std::string&) {
    return execs++ == 1 ? Reaction{kind, "data"} : Reaction();
  };
  service.invoker.host[0]->ignores_checks = true;
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-check", "x");
  REQUIRE(client.answer("1") != nullptr);
  const bool record = GENERATE(true, false);
  client.call("2", record ? "bin-record" : "bin-check", "y", 1500);
  REQUIRE(client.answer("2") != nullptr);
  CHECK(client.answer("2")->at(1) == (record ? "FAILED" : "OK"));
  CHECK(service.invoker.counters.value(kind == Kind::malformed_reply ? "hosts.malformed"
                                       : kind == Kind::stall         ? "hosts.cut_answers"
                                                                     : "hosts.silent_links") == 1);
  for (int i = 3; i <= 9; ++i) {
    client.call(std::to_string(i), "bin-record", std::to_string(i));
    REQUIRE(client.answer(std::to_string(i)) != nullptr);
    CHECK(client.answer(std::to_string(i))->at(1) == "OK");
  }
  CHECK(service.invoker.counters.value("hosts.links_opened") == 2);
}

// Guards against serving a body that no host made: an answer whose length noise has removed was taken for one
// with an empty body.
TEST_CASE("an answer that has lost its length is not served, whatever its word") {
  RespFixture service(1);
  const std::string word = GENERATE("data", "full", "absent", "moot", "failed");
  int execs = 0;
  service.invoker.host[0]->handler = [&](const std::string&) {
    return execs++ == 0 ? Reaction{Kind::missing_length, word} : Reaction();
  };
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-record", "x");
  REQUIRE(client.answer("1") != nullptr);
  CHECK(client.answer("1")->at(1) == "FAILED");
  CHECK(execs == 1);
  CHECK(service.invoker.counters.value("hosts.malformed") == 1);
  client.call("2", "bin-record", "y");
  REQUIRE(client.answer("2") != nullptr);
  CHECK(client.answer("2")->at(1) == "OK");
}

TEST_CASE("an answer with surplus bytes is delivered; nothing new is sent over its connection") {
  RespFixture service(1);
  const auto kind = GENERATE(Kind::duplicate_reply, Kind::unknown_call);
  const std::string word = GENERATE("data", "full");
  int execs = 0;
  service.invoker.host[0]->handler = [&](const std::string&) {
    return execs++ == 0 ? Reaction{kind, word} : Reaction();
  };
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-record", "x");
  REQUIRE(client.answer("1") != nullptr);
  CHECK(*client.answer("1") == resp::Words{"1", "OK", "", "x"});
  client.call("2", "bin-record", "y");
  REQUIRE(client.answer("2") != nullptr);
  CHECK(*client.answer("2") == resp::Words{"2", "OK", "", "y"});
  CHECK(execs == (word == "full" ? 3 : 2));
  CHECK(service.invoker.counters.value("hosts.surplus_answers") == 1);
  CHECK(service.invoker.counters.value("hosts.links_opened") == 2);
}

TEST_CASE("an answer that is announced longer than the limit closes its connection before it arrives") {
  hosts::Limits limits = InvokerFixture::limits();
  limits.max_answer_bytes = 100;
  RespFixture service(1, {}, limits);
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-record", std::string(100, 'x'));
  client.call("2", "bin-record", std::string(101, 'x'));
  REQUIRE((client.answer("1") != nullptr && client.answer("2") != nullptr));
  CHECK(client.answer("1")->at(1) == "OK");
  CHECK(client.answer("2")->at(1) == "FAILED");
  CHECK(service.invoker.counters.value("hosts.malformed") == 1);
}

}  // namespace
}  // namespace lotusyard::test
