// Descriptors run out while the change log is down: what the process needs for itself is kept free.
#include <sys/resource.h>

#include "support/service_harness.h"

namespace lotusyard::test {
namespace {

constexpr std::size_t kDescriptors = 96;
constexpr int kClients = 300;

Process& start_with_few_descriptors(ServiceHarness& service) {
  auto file = invoker_config(service.listen, service.change_log.server.address());
  file["limits"]["sockets"] = kDescriptors;
  service.write_config(file);
  Process& process = service.start();
  REQUIRE(service.wait_until_ready(service.admin_endpoints.back()));
  REQUIRE(service.run_until([&] { return service.change_log.requests == 1; }));
  const rlimit least{kDescriptors, kDescriptors};
  REQUIRE(prlimit(process.pid(), RLIMIT_NOFILE, &least, nullptr) == 0);
  return process;
}

void stop_change_log(ServiceHarness& service) {
  service.change_log.server.stop();
  for (const auto& peer : service.change_log.server.peers)
    peer->close_later();
}

// All of them wait for the process in one iteration. Every second client has sent a call once.
std::list<ServiceClient> connect_idle_clients(ServiceHarness& service, Process& process) {
  process.signal(SIGSTOP);
  std::list<ServiceClient> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(service.fixture, service.listen);
    if (i % 2 == 0)
      clients.back().call(1, "bin-check", "idle" + std::to_string(i));
    service.fixture.run_once();
  }
  process.signal(SIGCONT);
  return clients;
}

bool all_were_accepted(ServiceHarness& service, Process& process) {
  return service.run_until([&] {
    process.signal(SIGUSR1);
    return process.counter("resp.connections") >= kClients;
  });
}

TEST_CASE("idle clients that fill the descriptors while the change log is down keep nobody else out") {
  ServiceHarness service(false);
  Process& process = start_with_few_descriptors(service);
  const std::string console = service.admin_endpoints.back(), log = service.change_log.server.address();
  stop_change_log(service);
  const std::list<ServiceClient> idle = connect_idle_clients(service, process);
  const bool all = all_were_accepted(service, process);
  INFO(process.log().substr(process.log().size() > 3000 ? process.log().size() - 3000 : 0));
  REQUIRE(all);
  CHECK(process.counter("resp.silent_closed") + process.counter("resp.idle_closed") > 0);
  service.announce_host(1, "draining");
  LoopbackServer<StandInChangeLog::Peer, StandInChangeLog> again(service.fixture.loop, service.fixture.pool,
                                                                 service.change_log, log);
  CHECK(service.run_until([&] { return service.change_log.requests >= 2; }));
  CHECK(service.run_until([&] { return service.run_calls(3)[1] == 0; }));  // the event is in force
  CHECK(service.post(console, "/-/hosts/h0/disable") == 200);
  CHECK(service.post(console, "/-/hosts/h0/enable") == 200);
  CHECK(process.counter("resp.no_descriptor") == 0);
  CHECK(process.status() == -1);
}

}  // namespace
}  // namespace lotusyard::test
