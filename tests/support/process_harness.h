// Drives several processes with stand-in hosts and clients: starts, kills, stops and resumes them, sends
// calls and the requests of operators. Derived classes configure how the processes are connected.
#pragma once

#include <cmath>
#include <cstdio>
#include <set>

#include "maintenance/maintenance_rules.h"
#include "support/service_harness.h"

namespace lotusyard::test {

struct ManagedProcess {
  std::string name, admin_endpoint, clients, config;  // `clients`: the address that clients connect to
  std::unique_ptr<Process> process;
  std::shared_ptr<ServiceClient> client;
  bool stopped = false;
  double recovers_at = 0;  // when it is started or resumed again; 0: it is running
};

// A time in which a process was killed or stopped.
struct Downtime {
  std::string name;
  bool killed = false;
  double from = 0, to = kForever;
};

class ProcessHarness {
 public:
  ServiceHarness service{false};
  InvokerFixture& fixture = service.fixture;
  Random random;
  std::vector<ManagedProcess*> processes;
  std::vector<ManagedProcess*> call_targets;      // processes that clients call
  std::vector<ManagedProcess*> operator_targets;  // members of the group, which accept proposals
  ExecutionsByHost execs;
  std::vector<Downtime> downtimes;
  std::string injected_fault;  // into all processes; empty: none
  int last_call_number = 0;
  std::size_t silent_one_in = 40;  // one call in this many gets no reply from its host; 0: none
  std::uint64_t functions = 1;     // that clients call in turn; each has its own placement
  double next_calls_at = 0;
  bool calls_paused = false;

  ProcessHarness(std::uint64_t seed, int hosts, std::string fault)
      : random(seed), injected_fault(std::move(fault)) {
    while (fixture.host.size() < static_cast<std::size_t>(hosts))
      fixture.host.push_back(std::make_unique<StandInHost>(fixture.loop, fixture.pool));
    execs.resize(fixture.host.size());
    for (std::size_t i = 0; i < fixture.host.size(); ++i) {
      if (i >= 2)
        service.announce_host(i, "ready");
      StandInHost& host = *fixture.host[i];
      host.handler = [this, i, &host](const std::string& body) { return react(i, host, body); };
    }
  }
  virtual ~ProcessHarness() = default;
  ProcessHarness(const ProcessHarness&) = delete;
  ProcessHarness& operator=(const ProcessHarness&) = delete;

  double now() const { return fixture.loop.now().count(); }

  // ---- Processes ----

  nlohmann::json config_for(const ManagedProcess& p, int balancers) const {
    auto file = invoker_config(p.clients, service.change_log.server.address());
    file["name"] = p.name;
    file["console"] = p.admin_endpoint;
    file["settings"]["Balancers"] = balancers;
    file["settings"]["Bounds"]["Probes"] = false;
    for (auto& call_class : file["settings"]["Classes"]) {
      call_class["HardLimit"] = 400;
      call_class["Aim"] = 300;
    }
    return file;
  }
  std::string log_path(const ManagedProcess& p) const { return service.folder.path + "/" + p.name + ".log"; }
  void start(ManagedProcess& p) {
    std::map<std::string, std::string> environment = {{"BALANCER_CONFIG", p.config},
                                                      {"TMPDIR", service.folder.path}};
    if (!injected_fault.empty())
      environment["LOTUSYARD_BREAKS"] = injected_fault;
    p.process =
        std::make_unique<Process>(log_path(p), environment, nullptr,
                                  injected_fault.empty() ? LOTUSYARD_CLUSTER : LOTUSYARD_CLUSTER_FAULTY);
    p.recovers_at = 0;
    p.stopped = false;
  }
  // Kills the process and starts it again after `span` milliseconds.
  void kill_for(ManagedProcess& p, double span) {
    if (p.recovers_at > 0)
      return;
    p.process->signal(SIGKILL);
    REQUIRE(service.run_until([&] { return p.process->status() >= 0; }));
    downtimes.push_back({p.name, true, now()});
    p.recovers_at = now() + span;
  }
  void stop_for(ManagedProcess& p, double span) {
    if (p.recovers_at > 0)
      return;
    p.process->signal(SIGSTOP);
    downtimes.push_back({p.name, false, now()});
    p.stopped = true;
    p.recovers_at = now() + span;
  }
  void recover(ManagedProcess& p) {
    for (auto& downtime : downtimes) {
      if (downtime.name == p.name)
        downtime.to = std::min(downtime.to, now());
    }
    if (!p.stopped)
      return start(p);
    p.process->signal(SIGCONT);
    p.stopped = false;
    p.recovers_at = 0;
  }
  void recover_all() {
    for (auto* p : processes) {
      if (p->recovers_at > 0)
        recover(*p);
    }
  }

  // ---- Time ----

  virtual void run_once() {
    if (now() >= next_calls_at && !calls_paused) {
      next_calls_at = now() + 10;
      for (auto* p : call_targets)
        send_call(*p);
    }
    for (auto* p : processes) {
      if (p->recovers_at > 0 && now() >= p->recovers_at)
        recover(*p);
    }
    fixture.run_once();
  }
  template <typename Until>
  bool run_until(const Until& done, double seconds) {
    const double give_up = now() + seconds * 1000;
    while (now() < give_up) {
      if (done())
        return true;
      run_once();
    }
    return done();
  }
  // The same for a `done` that reads logs or queries processes, and is therefore evaluated only every 50 ms.
  template <typename Until>
  bool poll_until(const Until& done, double seconds = 15) {
    double checked = 0;
    return run_until(
        [&] {
          if (now() < checked)
            return false;
          checked = now() + 50;
          return done();
        },
        seconds);
  }
  void wait(double ms) {
    const double end = now() + ms;
    run_until([&] { return now() >= end; }, ms / 1000 + 10);
  }
  bool all_ready(double seconds) {
    const auto ready = [this](const auto* p) {
      return service.request(p->admin_endpoint, "GET", "/-/ready") == 200;
    };
    return run_until([&] { return std::all_of(processes.begin(), processes.end(), ready); }, seconds);
  }

  // ---- Clients and operators ----

  void send_call(ManagedProcess& p) {
    if (p.stopped || p.recovers_at > 0)
      return;
    if (!p.client || p.client->closed)
      p.client = std::make_shared<ServiceClient>(fixture, p.clients);
    if (p.client->open_calls.size() > 50)
      return;
    const bool is_record = ++last_call_number % 3 == 0;
    p.client->call(last_call_number, is_record ? "bin-record" : "bin-check",
                   (is_record ? "record " : "check ") + std::to_string(last_call_number), 350,
                   0xa1 + static_cast<std::uint64_t>(last_call_number) % functions);
  }
  int propose(ManagedProcess& p, const nlohmann::json& what) {
    return service.request(p.admin_endpoint, "POST", "/-/works/propose/" + percent_encoded(what.dump()));
  }
  // Proposes to a member the return of every host that operators have had for at least `after` milliseconds.
  void propose_returns(double after) {
    std::map<std::string, double> out;
    for (const auto& h : maintenance::parse_timeline(lines()).entries) {
      if (h.kind == "touch")
        out[h.host] = h.at;
      if (h.kind == "returned")
        out.erase(h.host);
    }
    for (const auto& [host, at] : out) {
      if (now() - at < after)
        continue;
      ManagedProcess& p = *operator_targets[below(random, operator_targets.size())];
      if (p.recovers_at > 0)
        continue;
      propose(
          p, {{"t", "returned"}, {"id", "r" + host + std::to_string(static_cast<long>(at))}, {"host", host}});
    }
  }

  // ---- Logs ----

  std::vector<std::string> lines() const {
    std::vector<std::string> out;
    for (const auto* p : processes) {
      std::ifstream in(log_path(*p));
      for (std::string line; std::getline(in, line);)
        out.push_back(line);
    }
    return out;
  }
  std::string all_logs() const {
    std::string out;
    for (const auto& line : lines())
      out += line + "\n";
    return out;
  }
  virtual std::string violated_rule(int most_out) const {
    return violated_maintenance_rule(lines(), execs, most_out);
  }

 private:
  // Records a call at a host and chooses its reaction. Some calls get no reply and run until their client
  // gives up.
  Reaction react(std::size_t host_index, const StandInHost& host, const std::string& body) {
    const auto& fields = host.fields.back();
    const auto at = fields.find("patience=");
    const double patience = at == std::string::npos ? 0 : std::stod(fields.substr(at + 9));
    const bool silent = silent_one_in > 0 && below(random, silent_one_in) == 0;
    const double at_host = now();
    execs[host_index].push_back({at_host, silent ? at_host + patience : at_host, body});
    Reaction out;
    if (silent)
      out.kind = Reaction::silence;
    return out;
  }
};

}  // namespace lotusyard::test
