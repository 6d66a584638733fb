// Descriptors run out while the change log is down: what the process needs for itself is kept free.
#include <sys/resource.h>

#include "support/service.h"

namespace lotusyard::test {
namespace {

TEST_CASE("idle clients that fill the descriptors while the change log is down keep nobody else out") {
  Service s(false);
  auto file = platform_file(s.listen, s.log.server.address());
  file["limits"]["sockets"] = 96;
  s.write(file);
  Process& process = s.start();
  const std::string console = s.consoles.back(), log = s.log.server.address();
  REQUIRE(s.ready(console));
  REQUIRE(s.until([&] { return s.log.asked == 1; }));
  const rlimit least{96, 96};
  REQUIRE(prlimit(process.pid(), RLIMIT_NOFILE, &least, nullptr) == 0);
  s.log.server.stop();
  for (const auto& peer : s.log.server.peers)
    peer->close_later();
  process.signal(SIGSTOP);  // all of them stand before it in one turn
  std::list<Tablet> idle;
  for (int i = 0; i < 300; ++i) {  // every second one has asked something once
    idle.emplace_back(s.world, s.listen);
    if (i % 2 == 0)
      idle.back().call(1, "bin-check", "idle" + std::to_string(i));
    s.world.turn();
  }
  process.signal(SIGCONT);
  const bool all = s.until([&] {
    process.signal(SIGUSR1);
    return process.counter("resp.connections") >= 300;
  });
  INFO(process.log().substr(process.log().size() > 3000 ? process.log().size() - 3000 : 0));
  REQUIRE(all);
  CHECK(process.counter("resp.silent_closed") + process.counter("resp.idle_closed") > 0);
  s.tell(1, "draining");
  Server<ChangeLog::Peer, ChangeLog> again(s.world.loop, s.world.pool, s.log, log);
  CHECK(s.until([&] { return s.log.asked >= 2; }));
  CHECK(s.until([&] { return s.serve(3)[1] == 0; }));  // what was told meanwhile holds
  CHECK(s.post(console, "/-/hosts/h0/disable") == 200);
  CHECK(s.post(console, "/-/hosts/h0/enable") == 200);
  CHECK(process.counter("resp.no_descriptor") == 0);
  CHECK(process.status() == -1);
}

}  // namespace
}  // namespace lotusyard::test
