// Whole processes in service: the admin endpoint, hosts out by hand, settings at SIGHUP and replacement,
// with stand-in hosts, a stand-in change log and clients on loopback.
#include "support/service.h"

#include <netinet/in.h>

#include <set>

namespace lotusyard::test {
namespace {

TEST_CASE("a host is out by hand across an upgrade, seen by both processes, until one call puts it back") {
  const bool inherited = GENERATE(true, false);
  Service s(inherited);
  s.start();
  const std::string first = s.consoles.back();
  REQUIRE(s.ready(first));
  REQUIRE(s.until([&] { return s.log.asked == 1; }));
  s.serve(5);
  CHECK(s.post(first, "/-/hosts/nobody/disable") == 404);
  CHECK(s.post(first, "/-/hosts/h0/disable") == 200);
  CHECK(s.post(first, "/-/hosts/h0/disable") == 200);
  const int orders = s.world.host[0]->orders;
  CHECK(s.serve(10)[0] == 0);
  s.tell(0, "draining");
  s.tell(0, "ready", 5);
  CHECK(s.serve(10)[0] == 0);
  if (inherited) {  // killed, or replaced: the next one knows
    if (GENERATE(true, false))
      s.processes.front().signal(SIGKILL);
    s.start();
    const std::string second = s.consoles.back();
    REQUIRE(s.ready(second));
    if (s.processes.front().status() < 0) {
      s.processes.front().signal(SIGTERM);
      REQUIRE(s.until([&] { return s.processes.front().status() >= 0; }));
      CHECK(s.processes.front().status() == 0);
    }
    CHECK(s.serve(10)[0] == 0);
    CHECK(s.world.host[0]->orders == orders);
    CHECK(s.post(second, "/-/hosts/h0/enable") == 200);
  } else {
    CHECK(s.post(first, "/-/hosts/h0/enable") == 200);
  }
  // Not one of the two is in need of the other: the module has to want it used.
  const bool used = s.until([&] { return s.serve(3)[0] > 0; });
  s.processes.back().signal(SIGUSR1);
  s.until([&] { return s.processes.back().counter("calls.taken") > 0; });
  INFO(s.processes.back().log());
  CHECK(used);
}

TEST_CASE("what one process is told by hand holds for the other one before long") {
  Service s;
  s.start();
  s.start();
  const std::string one = s.consoles.front(), other = s.consoles.back();
  REQUIRE((s.ready(one) && s.ready(other)));
  CHECK(s.post(one, "/-/hosts/h1/disable") == 200);
  s.processes.front().signal(SIGTERM);
  REQUIRE(s.until([&] { return s.processes.front().status() == 0; }));
  CHECK(s.serve(10)[1] == 0);
}

TEST_CASE("SIGHUP takes a whole good file, and nothing of a faulty one") {
  Service s(false);
  Process& process = s.start();
  REQUIRE(s.ready(s.consoles.back()));
  s.serve(3);
  auto next = platform_file(s.listen, s.log.server.address());
  next["settings"]["Classes"].push_back(next["settings"]["Classes"][1]);
  next["settings"]["Classes"][2]["Name"] = "bin-weigh";
  auto faulty = next;
  faulty["changelog"] = free_address();
  faulty["settings"]["Classes"][0]["HardLimit"] = -5;
  s.write(faulty);
  process.signal(SIGHUP);
  REQUIRE(s.until([&] { return process.says("HardLimit"); }));
  std::ofstream(s.config, std::ios::trunc).flush();
  process.signal(SIGHUP);
  REQUIRE(s.until([&] { return process.says("holds no JSON object"); }));
  Tablet early(s.world, s.listen);
  early.call(1, "bin-weigh", "early");
  REQUIRE(s.until([&] { return early.open.empty(); }));
  CHECK(early.got.at(0).first == "FAILED");
  s.write(next);
  process.signal(SIGHUP);
  REQUIRE(s.until([&] {
    process.signal(SIGUSR1);
    return process.counter("config.reread") == 1;
  }));
  CHECK(process.counter("config.faulty") == 2);
  CHECK(process.counter("feed.moves") == 0);
  s.serve(3, "bin-weigh");
  CHECK(process.status() == -1);
}

TEST_CASE("a descriptor that is no listening socket is a fault that names it") {
  Service s(false);
  Process& process = s.start({{"BALANCER_LISTEN_FD", "2"}});
  REQUIRE(s.until([&] { return process.status() >= 0; }));
  CHECK(process.status() == 1);
  CHECK(process.says("BALANCER_LISTEN_FD"));
}

// Clients keep calling while one process replaces the other, three times. A call that crosses the close of
// its connection is sent once more, as the platform's front does; all others must get their answer.
TEST_CASE("a process is replaced under clients: no call is lost, and no bin-record runs twice") {
  Service s;
  for (auto& host : s.world.host)
    host->handler = [](const std::string&) { return Reaction(); };
  s.start();
  REQUIRE(s.ready(s.consoles.back()));
  std::vector<std::unique_ptr<Tablet>> tablets(8);
  std::vector<Millis> next_call(tablets.size());
  std::set<std::string> crossed;  // bodies of calls whose connection ended with no answer
  Random random(3);
  int number = 0, upgrades = 0, answered = 0, refused_connections = 0;
  bool under_way = false;
  Millis next_step{s.world.loop.now() + Millis(300)};
  while (upgrades < 3 || under_way) {
    s.world.turn();
    const Millis now = s.world.loop.now();
    for (std::size_t i = 0; i < tablets.size(); ++i) {
      auto& tablet = tablets[i];
      if (tablet && tablet->closed) {
        if (tablet->open.empty() && tablet->asked_at.count() == 0)
          ++refused_connections;
        for (const auto& call : tablet->open)
          crossed.insert(call.second);
        tablet.reset();
      }
      if (!tablet)
        tablet = std::make_unique<Tablet>(s.world, s.listen);
      if (!tablet->open.empty())
        continue;
      for (const auto& answer : tablet->got) {
        ++answered;
        next_call[i] = now + Millis(static_cast<double>(below(random, 30)));
        CHECK((answer.first == "OK" || answer.first == "BUSY"));
        if (answer.first == "BUSY")
          CHECK(s.runs(answer.second) == 0);
      }
      tablet->got.clear();
      if (now < next_call[i])
        continue;
      ++number;
      tablet->call(number, number % 2 == 0 ? "bin-record" : "bin-check", std::to_string(number), 800);
    }
    if (now < next_step)
      continue;
    if (!under_way) {
      s.start();
      under_way = true;
      REQUIRE(s.ready(s.consoles.back()));
      s.processes.front().signal(SIGTERM);
    } else if (s.processes.front().status() >= 0) {
      CHECK(s.processes.front().status() == 0);
      CHECK(s.processes.front().counter("calls.overdue") == 0);
      s.processes.pop_front();
      ++upgrades;
      under_way = false;
    }
    next_step = now + Millis(100);
  }
  INFO("answered " << answered << ", crossed " << crossed.size());
  CHECK(answered > 50);
  CHECK(refused_connections == 0);
  for (const auto& body : crossed)
    CHECK(s.runs(body) == 0);  // it may be sent once more
  for (int i = 2; i <= number; i += 2)
    CHECK(s.runs(std::to_string(i)) <= 1);
}

}  // namespace
}  // namespace lotusyard::test
