// What comes in the last moments of a process: calls that are open, bytes that are in sockets already. Orders
// are forced by stopping the process and by limits, not by waiting for luck.
#include "support/service.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

void pass(Service& s, double ms) {
  const Millis until = s.world.loop.now() + Millis(ms);
  while (s.world.loop.now() < until)
    s.world.turn();
}

// Failure found: the process ended 3.6 s after SIGTERM with calls open, and they were lost: a call that came
// in the last moment, or one of a class with a longer limit, is still out then.
TEST_CASE(
    "a process that has to end answers what is still open, and a bin-record only as what may have run") {
  Service s(false);
  auto file = platform_file(s.listen, s.log.server.address());
  for (auto& call_class : file["settings"]["Classes"])
    call_class["HardLimit"] = 9000;
  s.write(file);
  Process& process = s.start();
  REQUIRE(s.ready(s.consoles.back()));
  REQUIRE(s.until([&] { return s.log.asked == 1; }));
  for (auto& host : s.world.host)
    host->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  Tablet tablet(s.world, s.listen);
  tablet.call(1, "bin-record", "out", 8000);
  REQUIRE(s.until([&] { return s.runs("out") == 1; }));
  s.tell(0, "draining");
  s.tell(1, "draining");
  REQUIRE(s.until([&] {
    process.signal(SIGUSR1);
    return process.counter("feed.events") == 4;
  }));
  tablet.call(2, "bin-check", "held", 8000);
  process.signal(SIGTERM);
  REQUIRE(s.until([&] { return process.status() >= 0; }));
  REQUIRE(s.until([&] { return tablet.closed; }));
  CHECK(process.status() == 0);
  CHECK(tablet.open.empty());
  const std::map<std::string, std::string> words = [&] {
    std::map<std::string, std::string> out;
    for (const auto& [word, body] : tablet.got)
      out[body] = word;
    return out;
  }();
  CHECK(words == std::map<std::string, std::string>{{"out", "FAILED"}, {"held", "BUSY"}});
  CHECK(s.runs("out") + s.runs("held") == 1);
}

// Failure found in review: the listener was closed with connections in its queue, and what their clients had
// sent was reset unread.
TEST_CASE(
    "whoever connected and asked before the listener closes is served, however late the process wakes") {
  Service s(false);
  Process& process = s.start();
  REQUIRE(s.ready(s.consoles.back()));
  REQUIRE(s.until([&] { return s.log.asked == 1; }));
  process.signal(SIGTERM);
  pass(s, 50);
  process.signal(SIGSTOP);
  std::list<Tablet> tablets;
  for (int i = 1; i <= 100; ++i) {  // more than are accepted in one turn
    tablets.emplace_back(s.world, s.listen);
    tablets.back().call(i, "bin-check", "late" + std::to_string(i));
  }
  pass(s, 650);  // longer than new connections are taken
  process.signal(SIGCONT);
  REQUIRE(s.until([&] { return process.status() >= 0; }));
  CHECK(process.status() == 0);
  pass(s, 50);
  for (const auto& tablet : tablets) {
    REQUIRE(tablet.got.size() == 1);
    CHECK((tablet.got[0].first == "OK" || tablet.got[0].first == "BUSY"));
  }
}

}  // namespace
}  // namespace lotusyard::test
