// Limits on client connections: how many, and how long one may be idle or send half a request.
#include "support/platform.h"

namespace lotusyard::test {
namespace {

TEST_CASE("a connection over the limit takes the place of the one that was idle longest") {
  resp::FrontEnd::Limits limits;
  limits.clients = 2;
  Platform platform(1, limits);
  Client first(platform.world, platform.front.address());
  Client second(platform.world, platform.front.address());
  first.say({"CHECK", "1"});
  second.say({"CHECK", "1"});
  REQUIRE((first.answer("1") != nullptr && second.answer("1") != nullptr));
  Client third(platform.world, platform.front.address());
  third.say({"CHECK", "1"});
  CHECK(third.answer("1") != nullptr);
  CHECK(platform.world.run_until([&] { return first.closed || second.closed; }, 20000));
}

TEST_CASE(
    "a connection without a request, or with half of one, is closed; one that has sent a request stays") {
  Platform platform(1);
  Client usual(platform.world, platform.front.address());
  Client silent(platform.world, platform.front.address());
  Client incomplete(platform.world, platform.front.address());
  Client later_incomplete(platform.world, platform.front.address());
  usual.say({"CHECK", "1"});
  later_incomplete.say({"CHECK", "1"});
  REQUIRE((usual.answer("1") != nullptr && later_incomplete.answer("1") != nullptr));
  incomplete.write("*3\r\n$5\r\nCHE");
  later_incomplete.write("*3\r\n$5\r\nCHE");
  CHECK(platform.world.run_until(
      [&] { return silent.closed && incomplete.closed && later_incomplete.closed; }, 20000));
  CHECK_FALSE(usual.closed);
  CHECK(platform.world.counters.value("resp.no_request") == 2);
  CHECK(platform.world.counters.value("resp.half_request") == 1);
}

TEST_CASE("dozens of connections without a request do not displace those that send requests") {
  resp::FrontEnd::Limits limits;
  limits.clients = limits.new_connections = 4;
  Platform platform(1, limits);
  Client usual(platform.world, platform.front.address());
  usual.say({"CHECK", "1"});
  REQUIRE(usual.answer("1") != nullptr);
  std::list<Client> silent;
  for (int i = 0; i < 40; ++i)
    silent.emplace_back(platform.world, platform.front.address());
  Client late(platform.world, platform.front.address());
  late.call("1", "bin-check", "x");
  REQUIRE(late.answer("1") != nullptr);
  CHECK(late.answer("1")->at(1) == "OK");
  CHECK_FALSE(usual.closed);
  CHECK(platform.world.counters.value("resp.silent_closed") >= 36);
}

TEST_CASE("a request written byte by byte over two seconds is served beside connections that stop half-way") {
  resp::FrontEnd::Limits limits;
  limits.new_connections = 6;
  Platform platform(1, limits);
  Client slow(platform.world, platform.front.address());
  const std::string request = "*3\r\n$5\r\nCHECK\r\n$1\r\n1\r\n$0\r\n\r\n";
  std::list<Client> others;
  const Millis began = platform.world.loop.now();
  for (std::size_t sent = 0; sent < request.size(); ++sent) {
    slow.write(request.substr(sent, 1));
    const Millis next =
        began + Millis(2200.0 * static_cast<double>(sent + 1) / static_cast<double>(request.size()));
    REQUIRE(platform.world.run_until([&] { return platform.world.loop.now() >= next; }));
    REQUIRE_FALSE(slow.closed);
    if (sent == 0)
      continue;  // only from its second piece on is the connection known to make progress
    for (int i = 0; i < 8; ++i) {
      others.emplace_back(platform.world, platform.front.address());
      if (i % 2 == 0)
        others.back().write("*3\r\n$5\r\nCHE");
    }
    while (others.size() > 40)
      others.pop_front();
  }
  REQUIRE(slow.answer("1") != nullptr);
  CHECK(slow.answer("1")->at(1) == "UP");
  CHECK(platform.world.counters.value("resp.silent_closed") > 100);
}

}  // namespace
}  // namespace lotusyard::test
