// What arrives in the last moments of a process: calls that are open, bytes that are in sockets already. The
// order of events is forced by stopping the process and by limits, not by waiting for luck.
#include "support/service_harness.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

void run_for(ServiceHarness& service, double ms) {
  const Millis until = service.fixture.loop.now() + Millis(ms);
  while (service.fixture.loop.now() < until)
    service.fixture.run_once();
}

// All classes have a longer deadline than the process may live after SIGTERM.
void write_long_deadlines(ServiceHarness& service) {
  auto file = invoker_config(service.listen, service.change_log.server.address());
  for (auto& call_class : file["settings"]["Classes"])
    call_class["HardLimit"] = 9000;
  service.write_config(file);
}

// No call can be sent to a host any more.
void drain_all_hosts(ServiceHarness& service, Process& process) {
  service.announce_host(0, "draining");
  service.announce_host(1, "draining");
  REQUIRE(service.run_until([&] {
    process.signal(SIGUSR1);
    return process.counter("feed.events") == 4;
  }));
}

std::map<std::string, std::string> status_by_body(const ServiceClient& client) {
  std::map<std::string, std::string> statuses;
  for (const auto& [status, body] : client.results)
    statuses[body] = status;
  return statuses;
}

// Failure found: the process ended 3.6 s after SIGTERM with calls open, and they were lost: a call that came
// in the last moment, or one of a class with a longer limit, is still out then.
TEST_CASE(
    "a process that has to end answers what is still open, and a bin-record only as what may have run") {
  ServiceHarness service(false);
  write_long_deadlines(service);
  Process& process = service.start();
  REQUIRE(service.wait_until_ready(service.admin_endpoints.back()));
  REQUIRE(service.run_until([&] { return service.change_log.requests == 1; }));
  for (auto& host : service.fixture.host)
    host->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  ServiceClient client(service.fixture, service.listen);
  client.call(1, "bin-record", "out", 8000);
  REQUIRE(service.run_until([&] { return service.runs("out") == 1; }));
  drain_all_hosts(service, process);
  client.call(2, "bin-check", "held", 8000);
  process.signal(SIGTERM);
  REQUIRE(service.run_until([&] { return process.status() >= 0; }));
  REQUIRE(service.run_until([&] { return client.closed; }));
  CHECK(process.status() == 0);
  CHECK(client.open_calls.empty());
  CHECK(status_by_body(client) == std::map<std::string, std::string>{{"out", "FAILED"}, {"held", "BUSY"}});
  CHECK(service.runs("out") + service.runs("held") == 1);
}

// Failure found in review: the listener was closed with connections in its queue, and what their clients had
// sent was reset unread.
TEST_CASE(
    "whoever connected and asked before the listener closes is served, however late the process wakes") {
  ServiceHarness service(false);
  Process& process = service.start();
  REQUIRE(service.wait_until_ready(service.admin_endpoints.back()));
  REQUIRE(service.run_until([&] { return service.change_log.requests == 1; }));
  process.signal(SIGTERM);
  run_for(service, 50);
  process.signal(SIGSTOP);
  std::list<ServiceClient> clients;
  for (int i = 1; i <= 100; ++i) {  // more than are accepted in one iteration
    clients.emplace_back(service.fixture, service.listen);
    clients.back().call(i, "bin-check", "late" + std::to_string(i));
  }
  run_for(service, 650);  // longer than new connections are taken
  process.signal(SIGCONT);
  REQUIRE(service.run_until([&] { return process.status() >= 0; }));
  CHECK(process.status() == 0);
  run_for(service, 50);
  for (const auto& client : clients) {
    REQUIRE(client.results.size() == 1);
    CHECK((client.results[0].first == "OK" || client.results[0].first == "BUSY"));
  }
}

}  // namespace
}  // namespace lotusyard::test
