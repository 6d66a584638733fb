// Answers of hosts that are incomplete, malformed, too long, or more than was asked for.
#include "support/platform.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

TEST_CASE("incomplete answers are bounded over all connections: the one that holds most memory is closed") {
  hosts::Limits limits = InvokerFixture::limits();
  limits.max_incoming_bytes = 300000;
  limits.max_attempts_per_connection = 1;
  Platform platform(1, {}, limits);
  platform.world.host[0]->handler = [](const std::string& body) {  // half of each comes, and then nothing
    return Reaction{Kind::stall, "data", body == "most" ? std::size_t{500000} : std::size_t{200000}};
  };
  Client client(platform.world, platform.front.address());
  client.call("1", "bin-record", "most");
  client.call("2", "bin-record", "less");
  REQUIRE(platform.world.run_until([&] { return platform.world.counters.value("hosts.links_ended") == 1; },
                                   20000));
  CHECK(platform.world.counters.value("hosts.no_memory") == 1);
  CHECK(platform.world.counters.value("hosts.cut_answers") == 0);
  REQUIRE(client.answer("1") != nullptr);
  CHECK(client.answer("1")->at(1) == "FAILED");
  CHECK(client.got.size() == 1);
}

TEST_CASE(
    "after an incomplete answer or a closed connection a bin-record fails and a bin-check is retried "
    "elsewhere") {
  Platform platform(2);
  const auto kind = GENERATE(Kind::half, Kind::hang_up);
  int broken = 0;
  for (auto& h : platform.world.host) {
    h->handler = [&](const std::string&) { return broken++ == 0 ? Reaction{kind, "data"} : Reaction(); };
  }
  Client client(platform.world, platform.front.address());
  const bool record = GENERATE(true, false);
  client.call("1", record ? "bin-record" : "bin-check", "x");
  REQUIRE(client.answer("1") != nullptr);
  CHECK(client.answer("1")->at(1) == (record ? "FAILED" : "OK"));
  CHECK(platform.world.host[0]->execs + platform.world.host[1]->execs == (record ? 1 : 2));
}

TEST_CASE("a malformed or incomplete answer closes its connection once; the host goes on with calls") {
  Platform platform(1);
  const auto kind = GENERATE(Kind::noise, Kind::stall, Kind::silence);
  int execs = 0;
  platform.world.host[0]->handler = [&](const std::string&) {
    return execs++ == 1 ? Reaction{kind, "data"} : Reaction();
  };
  platform.world.host[0]->mute = true;
  Client client(platform.world, platform.front.address());
  client.call("1", "bin-check", "x");
  REQUIRE(client.answer("1") != nullptr);
  const bool record = GENERATE(true, false);
  client.call("2", record ? "bin-record" : "bin-check", "y", 1500);
  REQUIRE(client.answer("2") != nullptr);
  CHECK(client.answer("2")->at(1) == (record ? "FAILED" : "OK"));
  CHECK(platform.world.counters.value(kind == Kind::noise   ? "hosts.malformed"
                                      : kind == Kind::stall ? "hosts.cut_answers"
                                                            : "hosts.silent_links") == 1);
  for (int i = 3; i <= 9; ++i) {
    client.call(std::to_string(i), "bin-record", std::to_string(i));
    REQUIRE(client.answer(std::to_string(i)) != nullptr);
    CHECK(client.answer(std::to_string(i))->at(1) == "OK");
  }
  CHECK(platform.world.counters.value("hosts.links_opened") == 2);
}

TEST_CASE("an answer with surplus bytes is delivered; nothing new is sent over its connection") {
  Platform platform(1);
  const auto kind = GENERATE(Kind::twice, Kind::stranger);
  const std::string word = GENERATE("data", "full");
  int execs = 0;
  platform.world.host[0]->handler = [&](const std::string&) {
    return execs++ == 0 ? Reaction{kind, word} : Reaction();
  };
  Client client(platform.world, platform.front.address());
  client.call("1", "bin-record", "x");
  REQUIRE(client.answer("1") != nullptr);
  CHECK(*client.answer("1") == resp::Words{"1", "OK", "", "x"});
  client.call("2", "bin-record", "y");
  REQUIRE(client.answer("2") != nullptr);
  CHECK(*client.answer("2") == resp::Words{"2", "OK", "", "y"});
  CHECK(execs == (word == "full" ? 3 : 2));
  CHECK(platform.world.counters.value("hosts.surplus_answers") == 1);
  CHECK(platform.world.counters.value("hosts.links_opened") == 2);
}

TEST_CASE("an answer that is announced longer than the limit closes its connection before it arrives") {
  hosts::Limits limits = InvokerFixture::limits();
  limits.max_answer_bytes = 100;
  Platform platform(1, {}, limits);
  Client client(platform.world, platform.front.address());
  client.call("1", "bin-record", std::string(100, 'x'));
  client.call("2", "bin-record", std::string(101, 'x'));
  REQUIRE((client.answer("1") != nullptr && client.answer("2") != nullptr));
  CHECK(client.answer("1")->at(1) == "OK");
  CHECK(client.answer("2")->at(1) == "FAILED");
  CHECK(platform.world.counters.value("hosts.malformed") == 1);
}

}  // namespace
}  // namespace lotusyard::test
