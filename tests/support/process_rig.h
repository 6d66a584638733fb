// Whole processes with stand-in hosts and clients: started, killed, stopped and resumed, called by clients,
// and asked by operators. What they are to each other is for those who derive from it.
#pragma once

#include <cmath>
#include <cstdio>
#include <set>

#include "maintenance/maintenance_rules.h"
#include "support/service.h"

namespace lotusyard::test {

struct ServedProcess {
  std::string name, admin_endpoint, clients, config;
  std::unique_ptr<Process> process;
  std::shared_ptr<Tablet> tablet;
  bool stopped = false;
  double back_at = 0;  // when it is started or resumed again; 0: it runs
};

// A process did not run then: it had been killed, or was stopped.
struct Absence {
  std::string name;
  bool killed = false;
  double from = 0, to = kForever;
};

class ProcessRig {
 public:
  Service s{false};
  InvokerFixture& world = s.world;
  Random random;
  std::vector<ServedProcess*> processes;  // all
  std::vector<ServedProcess*> called;     // by clients
  std::vector<ServedProcess*> operated;   // members of the group, where operators propose
  Executions execs;
  std::vector<Absence> absences;
  std::string breaks;              // the rule that all processes break
  int number = 0;                  // of the last call
  std::size_t silent_one_in = 40;  // so many calls; the host gives it no answer. 0: none
  std::uint64_t functions = 1;     // that clients call in turn; each has its own places
  double calls_at = 0;
  bool quiet = false;  // no calls

  ProcessRig(std::uint64_t seed, int hosts, std::string broken) : random(seed), breaks(std::move(broken)) {
    while (world.host.size() < static_cast<std::size_t>(hosts))
      world.host.push_back(std::make_unique<StandInHost>(world.loop, world.pool));
    execs.resize(world.host.size());
    for (std::size_t i = 0; i < world.host.size(); ++i) {
      if (i >= 2)
        s.tell(i, "ready");
      StandInHost& host = *world.host[i];
      host.handler = [this, i, &host](const std::string& body) { return record(i, host, body); };
    }
  }
  virtual ~ProcessRig() = default;
  ProcessRig(const ProcessRig&) = delete;
  ProcessRig& operator=(const ProcessRig&) = delete;

  double now() const { return world.loop.now().count(); }

  // ---- Processes ----

  nlohmann::json file_of(const ServedProcess& p, int balancers) const {
    auto file = platform_file(p.clients, s.log.server.address());
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
  std::string log_of(const ServedProcess& p) const { return s.folder.path + "/" + p.name + ".log"; }
  void start(ServedProcess& p) {
    std::map<std::string, std::string> environment = {{"BALANCER_CONFIG", p.config},
                                                      {"TMPDIR", s.folder.path}};
    if (!breaks.empty())
      environment["LOTUSYARD_BREAKS"] = breaks;
    p.process = std::make_unique<Process>(log_of(p), environment, nullptr,
                                          breaks.empty() ? LOTUSYARD_CLUSTER : LOTUSYARD_CLUSTER_FAULTY);
    p.back_at = 0;
    p.stopped = false;
  }
  // Killed, and started again after so many milliseconds.
  void kill_for(ServedProcess& p, double span) {
    if (p.back_at > 0)
      return;
    p.process->signal(SIGKILL);
    REQUIRE(s.until([&] { return p.process->status() >= 0; }));
    absences.push_back({p.name, true, now()});
    p.back_at = now() + span;
  }
  void stop_for(ServedProcess& p, double span) {
    if (p.back_at > 0)
      return;
    p.process->signal(SIGSTOP);
    absences.push_back({p.name, false, now()});
    p.stopped = true;
    p.back_at = now() + span;
  }
  void revive(ServedProcess& p) {
    for (auto& absence : absences) {
      if (absence.name == p.name)
        absence.to = std::min(absence.to, now());
    }
    if (!p.stopped)
      return start(p);
    p.process->signal(SIGCONT);
    p.stopped = false;
    p.back_at = 0;
  }
  void revive_all() {
    for (auto* p : processes) {
      if (p->back_at > 0)
        revive(*p);
    }
  }

  // ---- Time ----

  virtual void turn() {
    if (now() >= calls_at && !quiet) {
      calls_at = now() + 10;
      for (auto* p : called)
        call(*p);
    }
    for (auto* p : processes) {
      if (p->back_at > 0 && now() >= p->back_at)
        revive(*p);
    }
    world.turn();
  }
  template <typename Until>
  bool until(const Until& done, double seconds) {
    const double give_up = now() + seconds * 1000;
    while (now() < give_up) {
      if (done())
        return true;
      turn();
    }
    return done();
  }
  // The same where `done` reads logs or asks processes: only now and then.
  template <typename Until>
  bool soon(const Until& done, double seconds = 15) {
    double checked = 0;
    return until(
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
    until([&] { return now() >= end; }, ms / 1000 + 10);
  }
  bool all_ready(double seconds) {
    const auto ready = [this](const auto* p) { return s.ask(p->admin_endpoint, "GET", "/-/ready") == 200; };
    return until([&] { return std::all_of(processes.begin(), processes.end(), ready); }, seconds);
  }

  // ---- Clients and operators ----

  void call(ServedProcess& p) {
    if (p.stopped || p.back_at > 0)
      return;
    if (!p.tablet || p.tablet->closed)
      p.tablet = std::make_shared<Tablet>(world, p.clients);
    if (p.tablet->open.size() > 50)
      return;
    const bool is_record = ++number % 3 == 0;
    p.tablet->call(number, is_record ? "bin-record" : "bin-check",
                   (is_record ? "record " : "check ") + std::to_string(number), 350,
                   0xa1 + static_cast<std::uint64_t>(number) % functions);
  }
  int propose(ServedProcess& p, const nlohmann::json& what) {
    return s.ask(p.admin_endpoint, "POST", "/-/works/propose/" + percent_encoded(what.dump()));
  }
  // Says to a member that whatever may be touched and has been for a while is back.
  void give_back(double after) {
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
      ServedProcess& p = *operated[below(random, operated.size())];
      if (p.back_at > 0)
        continue;
      propose(
          p, {{"t", "returned"}, {"id", "r" + host + std::to_string(static_cast<long>(at))}, {"host", host}});
    }
  }

  // ---- What has been written ----

  std::vector<std::string> lines() const {
    std::vector<std::string> out;
    for (const auto* p : processes) {
      std::ifstream in(log_of(*p));
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
  virtual std::string broken_rule(int most_out) const { return broken_work_rule(lines(), execs, most_out); }

 private:
  // What a host does with a call, which is written down; some get no answer, and run until their client gives
  // up.
  Reaction record(std::size_t number_of_host, const StandInHost& host, const std::string& body) {
    const auto& fields = host.fields.back();
    const auto at = fields.find("patience=");
    const double patience = at == std::string::npos ? 0 : std::stod(fields.substr(at + 9));
    const bool silent = silent_one_in > 0 && below(random, silent_one_in) == 0;
    const double at_host = now();
    execs[number_of_host].push_back({at_host, silent ? at_host + patience : at_host, body});
    Reaction out;
    if (silent)
      out.kind = Reaction::silence;
    return out;
  }
};

}  // namespace lotusyard::test
