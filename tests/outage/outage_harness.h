// Runs invoker processes between clients, hosts and a discovery service whose failures a test controls. Hosts
// and clients record what they observe.
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

struct HarnessOptions {
  int invokers = 2;
  int hosts = 6;
  int functions = 6;
  Millis call_interval{20};  // of each client
  Millis call_timeout{350};
  bool accepts_probes = true;
  double drain_grace = 2000;
  double connection_idle = 15000;
  Millis instance_idle_timeout{9000};  // hosts unload functions that have not been called for this long
  // The reaction of a host that is not draining to a call of a function that it has loaded.
  std::function<Reaction(std::size_t host)> react = [](std::size_t) { return Reaction(); };
  // Changes the configuration file of all invokers before they start.
  std::function<void(nlohmann::json& file)> adjust = [](nlohmann::json&) {};
};

// One host, with the same id and address across restarts.
struct HarnessHost {
  std::string id;
  std::string address;
  std::unique_ptr<StandInHost> server;  // null while nothing runs at the address
  HostPhase phase = HostPhase::ready;
  double started = 0;
  bool hangs = false;
  std::map<std::string, double> loaded;  // the time of last use, by function
};

// One invoker and its client.
struct HarnessInvoker {
  std::string listen;
  std::string config;
  std::string log;
  std::unique_ptr<Process> process;
  std::shared_ptr<ServiceClient> client;
  std::map<std::string, std::size_t> open;  // index in the history's calls, by body
  std::size_t read_answers = 0;             // answers of the client that were read
  Millis next_call_at{0};
  std::size_t starts = 0;    // process starts; each process logs a line when it accepts calls
  bool takes_calls = false;  // the current process accepts calls
  bool sends_calls = true;   // the client sends calls
};

class OutageHarness {
 public:
  explicit OutageHarness(const HarnessOptions& options = {});
  ~OutageHarness();
  OutageHarness(const OutageHarness&) = delete;
  OutageHarness& operator=(const OutageHarness&) = delete;

  const HarnessOptions options;
  InvokerFixture fixture{0};  // only its loop and buffers are used
  TemporaryFolder folder;
  StandInDiscovery discovery{fixture};
  std::vector<HarnessHost> hosts;
  std::list<HarnessInvoker> invokers;
  History history;

  double now() const { return fixture.loop.now().count(); }

  // ---- Invokers ----

  // Writes the configuration with the events up to now, starts the process and, if `waits`, waits until it
  // accepts calls.
  void start(HarnessInvoker& invoker, bool waits = true);
  void start_all();
  void write_configuration(const HarnessInvoker& invoker, const std::string& discovery_address) const;
  // Exempts calls that are open at a killed or stopped invoker from the rule that each call gets an answer.
  void excuse_open_calls(HarnessInvoker& invoker);
  void kill(HarnessInvoker& invoker);
  // Requests the process's counters and returns the value of one of them.
  long counter(HarnessInvoker& invoker, const std::string& name);

  // ---- Discovery and hosts ----

  void begin_outage(OutageForm form);
  void end_outage();
  // The hosts that served the most calls so far.
  std::vector<std::size_t> busiest(std::size_t count) const;
  // Each of these changes the state of hosts and publishes the change.
  void drain(const std::vector<std::size_t>& which);
  void remove(const std::vector<std::size_t>& which);
  // Starts the hosts as new processes at their old addresses.
  void restart(const std::vector<std::size_t>& which);

  // A hanging host keeps its connections open and answers nothing.
  void hang(std::size_t host, bool hangs);

  // ---- Time ----

  // Runs clients, hosts and discovery.
  void run_for(Millis duration);
  bool run_until(const std::function<bool()>& done, Millis limit);
  // Stops new calls of the clients, and waits for the open ones.
  void finish_calls();

 private:
  bool clients_stopped_ = false;
  int next_call_ = 0;

  void add_host(std::size_t number);
  void serve_at(std::size_t number);
  void handle_request(std::size_t number, const hosts::Reply& line);
  void record_request(const HarnessHost& host, const hosts::Reply& line, bool rejected);
  // Loads the function if the request is a load order. Returns whether it was loaded already.
  bool update_loaded(HarnessHost& host, const hosts::Reply& line);
  void publish(const std::vector<std::size_t>& which, HostPhase phase, bool restarted);
  void run_once();
  void check_ready(HarnessInvoker& invoker);
  void step_client(HarnessInvoker& invoker);
  void connect_client(HarnessInvoker& invoker);
  void read_answers(HarnessInvoker& invoker);
  void send_call(HarnessInvoker& invoker);
};

}  // namespace lotusyard::test::outage
