// Descriptors run out while the change log is down: what the process needs for itself is kept free.
#include <sys/resource.h>

#include "support/service.h"

namespace lotusyard::test {
namespace {

constexpr std::size_t kDescriptors = 96;
constexpr int kClients = 300;

Process& start_with_few_descriptors(Service& service) {
  auto file = platform_file(service.listen, service.log.server.address());
  file["limits"]["sockets"] = kDescriptors;
  service.write(file);
  Process& process = service.start();
  REQUIRE(service.ready(service.consoles.back()));
  REQUIRE(service.until([&] { return service.log.asked == 1; }));
  const rlimit least{kDescriptors, kDescriptors};
  REQUIRE(prlimit(process.pid(), RLIMIT_NOFILE, &least, nullptr) == 0);
  return process;
}

void stop_change_log(Service& service) {
  service.log.server.stop();
  for (const auto& peer : service.log.server.peers)
    peer->close_later();
}

// All of them wait for the process in one iteration. Every second client has sent a call once.
std::list<Tablet> connect_idle_clients(Service& service, Process& process) {
  process.signal(SIGSTOP);
  std::list<Tablet> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(service.world, service.listen);
    if (i % 2 == 0)
      clients.back().call(1, "bin-check", "idle" + std::to_string(i));
    service.world.turn();
  }
  process.signal(SIGCONT);
  return clients;
}

bool all_were_accepted(Service& service, Process& process) {
  return service.until([&] {
    process.signal(SIGUSR1);
    return process.counter("resp.connections") >= kClients;
  });
}

TEST_CASE("idle clients that fill the descriptors while the change log is down keep nobody else out") {
  Service service(false);
  Process& process = start_with_few_descriptors(service);
  const std::string console = service.consoles.back(), log = service.log.server.address();
  stop_change_log(service);
  const std::list<Tablet> idle = connect_idle_clients(service, process);
  const bool all = all_were_accepted(service, process);
  INFO(process.log().substr(process.log().size() > 3000 ? process.log().size() - 3000 : 0));
  REQUIRE(all);
  CHECK(process.counter("resp.silent_closed") + process.counter("resp.idle_closed") > 0);
  service.tell(1, "draining");
  Server<ChangeLog::Peer, ChangeLog> again(service.world.loop, service.world.pool, service.log, log);
  CHECK(service.until([&] { return service.log.asked >= 2; }));
  CHECK(service.until([&] { return service.serve(3)[1] == 0; }));  // the event is in force
  CHECK(service.post(console, "/-/hosts/h0/disable") == 200);
  CHECK(service.post(console, "/-/hosts/h0/enable") == 200);
  CHECK(process.counter("resp.no_descriptor") == 0);
  CHECK(process.status() == -1);
}

}  // namespace
}  // namespace lotusyard::test
