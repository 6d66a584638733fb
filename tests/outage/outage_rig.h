// Invoker processes between clients, hosts and a discovery service that fail as a test tells them. Hosts and
// clients record what they see.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "outage/history.h"
#include "outage/stand_in_discovery.h"
#include "support/process.h"
#include "support/service_harness.h"

namespace lotusyard::test::outage {

struct RigOptions {
  int invokers = 2;
  int hosts = 6;
  int functions = 6;
  Millis call_interval{20};  // of each client
  Millis call_timeout{350};
  bool accepts_probes = true;
  double drain_grace = 2000;
  double connection_idle = 15000;
  Millis instance_idle_timeout{9000};  // hosts unload functions that were not called for this long
  // How a host that is not draining answers a call for a function that it has loaded.
  std::function<Reaction(std::size_t host)> react = [](std::size_t) { return Reaction(); };
  // Changes the settings of all invokers, before they start.
  std::function<void(nlohmann::json& file)> adjust = [](nlohmann::json&) {};
};

// One host: the same id and address through its restarts.
struct RiggedHost {
  std::string id;
  std::string address;
  std::unique_ptr<StandInHost> server;  // null while nothing runs at the address
  HostPhase phase = HostPhase::ready;
  double started = 0;
  bool hangs = false;
  std::map<std::string, double> loaded;  // functions, and when each was used last
};

// One invoker and its client.
struct RiggedInvoker {
  std::string listen;
  std::string config;
  std::string log;
  std::unique_ptr<Process> process;
  std::shared_ptr<ServiceClient> client;
  std::map<std::string, std::size_t> open;  // by tag: the index in the history's calls
  std::size_t read_answers = 0;             // of the client's
  Millis next_call_at{0};
  std::size_t starts = 0;    // of its process; each prints a line when it takes calls
  bool takes_calls = false;  // the present process takes calls
  bool sends_calls = true;   // its client sends some
};

class OutageRig {
 public:
  explicit OutageRig(const RigOptions& options = {});
  ~OutageRig();
  OutageRig(const OutageRig&) = delete;
  OutageRig& operator=(const OutageRig&) = delete;

  const RigOptions options;
  InvokerFixture fixture{0};  // only its loop and buffers are used
  TemporaryFolder folder;
  StandInDiscovery discovery{fixture};
  std::vector<RiggedHost> hosts;
  std::list<RiggedInvoker> invokers;
  History history;

  double now() const { return fixture.loop.now().count(); }

  // ---- Invokers ----

  // Writes the configuration with the events up to now, starts the process and waits until it takes calls.
  void start(RiggedInvoker& invoker, bool waits = true);
  void start_all();
  void write_configuration(const RiggedInvoker& invoker, const std::string& discovery_address) const;
  // Calls that are open at an invoker that is killed have no answer to expect.
  void excuse_open_calls(RiggedInvoker& invoker);
  void kill(RiggedInvoker& invoker);
  // The value of a counter, asked of the process.
  long counter(RiggedInvoker& invoker, const std::string& name);

  // ---- Discovery and hosts ----

  void begin_outage(OutageForm form);
  void end_outage();
  // The hosts that got most calls so far.
  std::vector<std::size_t> busiest(std::size_t count) const;
  // Publishes a change, and lets the host behave so.
  void drain(const std::vector<std::size_t>& which);
  void remove(const std::vector<std::size_t>& which);
  // The hosts are new processes at their old addresses.
  void restart(const std::vector<std::size_t>& which);

  // A host that hangs keeps its connections and answers nothing.
  void hang(std::size_t host, bool hangs);

  // ---- Time ----

  // Runs clients, hosts and discovery.
  void run_for(Millis duration);
  bool run_until(const std::function<bool()>& done, Millis limit);
  // Clients send nothing new from now on, and wait for what is open.
  void settle();

 private:
  bool quiet_ = false;
  int next_call_ = 0;

  void add_host(std::size_t number);
  void serve_at(std::size_t number);
  void handle_request(std::size_t number, const hosts::Reply& line);
  void record_request(const RiggedHost& host, const hosts::Reply& line, bool turned_away);
  // Loads what is ordered; returns whether the function of the request is loaded.
  bool update_loaded(RiggedHost& host, const hosts::Reply& line);
  void publish(const std::vector<std::size_t>& which, HostPhase phase, bool restarted);
  void turn();
  void check_ready(RiggedInvoker& invoker);
  void step_client(RiggedInvoker& invoker);
  void connect_client(RiggedInvoker& invoker);
  void read_answers(RiggedInvoker& invoker);
  void send_call(RiggedInvoker& invoker);
};

}  // namespace lotusyard::test::outage
