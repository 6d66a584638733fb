// Whole processes in service: the admin endpoint, hosts disabled by hand, settings at SIGHUP and replacement,
// with stand-in hosts, a stand-in change log and clients on loopback.
#include <netinet/in.h>

#include <set>

#include "support/service_harness.h"

namespace lotusyard::test {
namespace {

void disable_first_host(ServiceHarness& service, const std::string& console) {
  CHECK(service.post(console, "/-/hosts/nobody/disable") == 404);
  CHECK(service.post(console, "/-/hosts/h0/disable") == 200);
  CHECK(service.post(console, "/-/hosts/h0/disable") == 200);
}

// Starts the second process, which knows of the first one's disabled host, whether that is killed or
// replaced.
void replace_first_process(ServiceHarness& service, bool killed) {
  Process& first = service.processes.front();
  if (killed)
    first.signal(SIGKILL);
  service.start();
  REQUIRE(service.wait_until_ready(service.admin_endpoints.back()));
  if (first.status() >= 0)
    return;
  first.signal(SIGTERM);
  REQUIRE(service.run_until([&] { return first.status() >= 0; }));
  CHECK(first.status() == 0);
}

TEST_CASE("a host is out by hand across an upgrade, seen by both processes, until one call puts it back") {
  const bool inherited = GENERATE(true, false);
  ServiceHarness service(inherited);
  service.start();
  const std::string first = service.admin_endpoints.back();
  REQUIRE(service.wait_until_ready(first));
  REQUIRE(service.run_until([&] { return service.change_log.requests == 1; }));
  service.run_calls(5);
  disable_first_host(service, first);
  const int orders = service.fixture.host[0]->load_orders;
  CHECK(service.run_calls(10)[0] == 0);
  service.announce_host(0, "draining");
  service.announce_host(0, "ready", 5);
  CHECK(service.run_calls(10)[0] == 0);
  if (inherited) {
    replace_first_process(service, GENERATE(true, false));
    CHECK(service.run_calls(10)[0] == 0);
    CHECK(service.fixture.host[0]->load_orders == orders);
  }
  CHECK(service.post(service.admin_endpoints.back(), "/-/hosts/h0/enable") == 200);
  // One host is enough for so few calls: the scheduler has to choose to use the other one again.
  const bool used = service.run_until([&] { return service.run_calls(3)[0] > 0; });
  service.processes.back().signal(SIGUSR1);
  service.run_until([&] { return service.processes.back().counter("calls.taken") > 0; });
  INFO(service.processes.back().log());
  CHECK(used);
}

TEST_CASE("what one process is told by hand holds for the other one before long") {
  ServiceHarness service;
  service.start();
  service.start();
  const std::string one = service.admin_endpoints.front(), other = service.admin_endpoints.back();
  REQUIRE((service.wait_until_ready(one) && service.wait_until_ready(other)));
  CHECK(service.post(one, "/-/hosts/h1/disable") == 200);
  service.processes.front().signal(SIGTERM);
  REQUIRE(service.run_until([&] { return service.processes.front().status() == 0; }));
  CHECK(service.run_calls(10)[1] == 0);
}

// The configuration with one more class, bin-weigh.
nlohmann::json file_with_new_class(const ServiceHarness& service) {
  auto file = invoker_config(service.listen, service.change_log.server.address());
  auto& classes = file["settings"]["Classes"];
  classes.push_back(classes[1]);
  classes[2]["Name"] = "bin-weigh";
  return file;
}

// Faulty in one setting, with another one that would be taken on its own.
nlohmann::json faulty_file(const ServiceHarness& service) {
  auto file = file_with_new_class(service);
  file["changelog"] = free_address();
  file["settings"]["Classes"][0]["HardLimit"] = -5;
  return file;
}

TEST_CASE("SIGHUP takes a whole good file, and nothing of a faulty one") {
  ServiceHarness service(false);
  Process& process = service.start();
  REQUIRE(service.wait_until_ready(service.admin_endpoints.back()));
  service.run_calls(3);
  service.write_config(faulty_file(service));
  process.signal(SIGHUP);
  REQUIRE(service.run_until([&] { return process.has_logged("HardLimit"); }));
  std::ofstream(service.config, std::ios::trunc).flush();
  process.signal(SIGHUP);
  REQUIRE(service.run_until([&] { return process.has_logged("holds no JSON object"); }));
  ServiceClient early(service.fixture, service.listen);
  early.call(1, "bin-weigh", "early");
  REQUIRE(service.run_until([&] { return early.open_calls.empty(); }));
  CHECK(early.results.at(0).first == "FAILED");
  service.write_config(file_with_new_class(service));
  process.signal(SIGHUP);
  REQUIRE(service.run_until([&] {
    process.signal(SIGUSR1);
    return process.counter("config.reread") == 1;
  }));
  CHECK(process.counter("config.faulty") == 2);
  CHECK(process.counter("feed.moves") == 0);
  service.run_calls(3, "bin-weigh");
  CHECK(process.status() == -1);
}

TEST_CASE("a descriptor that is no listening socket is a fault that names it") {
  ServiceHarness service(false);
  Process& process = service.start({{"BALANCER_LISTEN_FD", "2"}});
  REQUIRE(service.run_until([&] { return process.status() >= 0; }));
  CHECK(process.status() == 1);
  CHECK(process.has_logged("BALANCER_LISTEN_FD"));
}

// Clients that each send a call, wait for its answer and pause. A client whose connection ends connects
// again.
class BusyClients {
 public:
  BusyClients(ServiceHarness& service, std::size_t count)
      : service_(service), clients_(count), next_call_at_(count) {}

  void step() {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      if (clients_[i] && clients_[i]->closed)
        forget_closed(i);
      if (!clients_[i])
        clients_[i] = std::make_unique<ServiceClient>(service_.fixture, service_.listen);
      if (!clients_[i]->open_calls.empty())
        continue;
      check_answers(i);
      if (service_.fixture.loop.now() >= next_call_at_[i])
        call(*clients_[i]);
    }
  }

  int calls() const { return calls_; }
  int answered() const { return answered_; }
  int refused_connections() const { return refused_connections_; }
  // The bodies of calls whose connection ended without an answer.
  const std::set<std::string>& unanswered_bodies() const { return unanswered_bodies_; }

 private:
  void forget_closed(std::size_t i) {
    const ServiceClient& client = *clients_[i];
    if (client.open_calls.empty() && client.sent_at.count() == 0)
      ++refused_connections_;
    for (const auto& [tag, body] : client.open_calls)
      unanswered_bodies_.insert(body);
    clients_[i].reset();
  }
  void check_answers(std::size_t i) {
    for (const auto& [status, body] : clients_[i]->results) {
      ++answered_;
      next_call_at_[i] = service_.fixture.loop.now() + Millis(static_cast<double>(below(random_, 30)));
      CHECK((status == "OK" || status == "BUSY"));
      if (status == "BUSY")
        CHECK(service_.runs(body) == 0);
    }
    clients_[i]->results.clear();
  }
  void call(ServiceClient& client) {
    ++calls_;
    client.call(calls_, calls_ % 2 == 0 ? "bin-record" : "bin-check", std::to_string(calls_), 800);
  }

  ServiceHarness& service_;
  std::vector<std::unique_ptr<ServiceClient>> clients_;
  std::vector<Millis> next_call_at_;
  std::set<std::string> unanswered_bodies_;
  Random random_{3};
  int calls_ = 0, answered_ = 0, refused_connections_ = 0;
};

// Replaces the process again and again: starts a second one, then ends the first one.
class RollingUpgrade {
 public:
  explicit RollingUpgrade(ServiceHarness& service)
      : service_(service), next_step_at_(service.fixture.loop.now() + Millis(300)) {}

  int finished() const { return finished_; }
  bool under_way() const { return under_way_; }

  void step() {
    const Millis now = service_.fixture.loop.now();
    if (now < next_step_at_)
      return;
    if (!under_way_) {
      begin();
    } else if (service_.processes.front().status() >= 0) {
      finish();
    }
    next_step_at_ = now + Millis(100);
  }

 private:
  void begin() {
    service_.start();
    under_way_ = true;
    REQUIRE(service_.wait_until_ready(service_.admin_endpoints.back()));
    service_.processes.front().signal(SIGTERM);
  }
  void finish() {
    CHECK(service_.processes.front().status() == 0);
    CHECK(service_.processes.front().counter("calls.overdue") == 0);
    service_.processes.pop_front();
    ++finished_;
    under_way_ = false;
  }

  ServiceHarness& service_;
  Millis next_step_at_;
  int finished_ = 0;
  bool under_way_ = false;
};

// A call that crosses the close of its connection is sent once more, as the platform's front does; all others
// must get their answer.
TEST_CASE("a process is replaced under clients: no call is lost, and no bin-record runs twice") {
  ServiceHarness service;
  for (auto& host : service.fixture.host)
    host->handler = [](const std::string&) { return Reaction(); };
  service.start();
  REQUIRE(service.wait_until_ready(service.admin_endpoints.back()));
  BusyClients clients(service, 8);
  RollingUpgrade upgrade(service);
  while (upgrade.finished() < 3 || upgrade.under_way()) {
    service.fixture.run_once();
    clients.step();
    upgrade.step();
  }
  INFO("answered " << clients.answered() << ", crossed " << clients.unanswered_bodies().size());
  CHECK(clients.answered() > 50);
  CHECK(clients.refused_connections() == 0);
  for (const auto& body : clients.unanswered_bodies())
    CHECK(service.runs(body) == 0);  // it may be sent once more
  for (int call = 2; call <= clients.calls(); call += 2)
    CHECK(service.runs(std::to_string(call)) <= 1);
}

}  // namespace
}  // namespace lotusyard::test
