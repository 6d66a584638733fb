#include "outage/outage_harness.h"

#include <algorithm>

#include "outage/checker.h"

namespace lotusyard::test::outage {
namespace {

constexpr Millis kReadyTimeout{10000};

const char* phase_name(HostPhase phase) {
  switch (phase) {
    case HostPhase::ready:
      return "ready";
    case HostPhase::draining:
      return "draining";
    case HostPhase::gone:
      break;
  }
  return "gone";
}

}  // namespace

OutageHarness::OutageHarness(const HarnessOptions& given) : options(given) {
  for (int i = 0; i < options.hosts; ++i)
    add_host(static_cast<std::size_t>(i));
  std::vector<std::size_t> all(hosts.size());
  for (std::size_t i = 0; i < all.size(); ++i)
    all[i] = i;
  publish(all, HostPhase::ready, false);
  for (int i = 0; i < options.invokers; ++i) {
    HarnessInvoker& invoker = invokers.emplace_back();
    const std::string name = "n" + std::to_string(i);
    invoker.listen = free_address();
    invoker.config = folder.path + "/" + name + ".json";
    invoker.log = folder.path + "/" + name + ".log";
  }
}

// Clients and hosts must be destroyed before the event loop.
OutageHarness::~OutageHarness() {
  invokers.clear();
  hosts.clear();
}

void OutageHarness::add_host(std::size_t number) {
  HarnessHost host;
  host.id = "h" + std::to_string(number);
  host.address = free_address();
  hosts.push_back(std::move(host));
  serve_at(number);
}

void OutageHarness::serve_at(std::size_t number) {
  HarnessHost& host = hosts[number];
  host.loaded.clear();
  host.hangs = false;
  host.server = std::make_unique<StandInHost>(fixture.loop, fixture.pool, host.address);
  host.server->on_request = [this, number](const hosts::Reply& line) { handle_request(number, line); };
}

void OutageHarness::handle_request(std::size_t number, const hosts::Reply& line) {
  HarnessHost& host = hosts[number];
  const bool is_loaded = update_loaded(host, line);
  Reaction reaction{Reaction::reply, "absent", 0};
  if (line.id == "exec" && is_loaded)
    reaction = options.react(number);
  if (host.hangs)
    reaction = Reaction{Reaction::silence, "data", 0};
  host.server->handler = [reaction](const std::string&) { return reaction; };
  const bool runs = !host.server->draining && reaction.word != "absent" && reaction.word != "full";
  record_request(host, line, !runs);
}

bool OutageHarness::update_loaded(HarnessHost& host, const hosts::Reply& line) {
  const auto at = line.fields.find("asset=");
  if (at == std::string::npos)
    return false;
  const std::string function = line.fields.substr(at, std::string("asset=").size() + 16);
  const auto used = host.loaded.find(function);
  const bool is_loaded =
      used != host.loaded.end() && now() - used->second < options.instance_idle_timeout.count();
  const bool is_order = line.id == "ensure" && line.fields.find("count=0") == std::string::npos;
  if (is_loaded || (is_order && !host.server->draining))
    host.loaded[function] = now();
  return is_loaded;
}

void OutageHarness::record_request(const HarnessHost& host, const hosts::Reply& line, bool rejected) {
  HostRequest request;
  request.at = now();
  request.host = host.id;
  request.rejected = rejected;
  request.body = line.body.value_or("");
  request.kind = HostRequest::Kind::call;
  if (line.id == "ensure") {
    if (line.fields.find("count=0") != std::string::npos)
      return;  // loads nothing
    request.kind = HostRequest::Kind::load;
  } else if (line.id != "exec") {
    return;
  }
  history.requests.push_back(std::move(request));
}

void OutageHarness::publish(const std::vector<std::size_t>& which, HostPhase phase, bool restarted) {
  nlohmann::json members = nlohmann::json::array();
  for (const std::size_t i : which) {
    HarnessHost& host = hosts[i];
    host.phase = phase;
    if (restarted)
      host.started = now();
    members.push_back({{"id", host.id},
                       {"host_port", host.address},
                       {"locality", "z"},
                       {"flavor", "std"},
                       {"cell", 1},
                       {"phase", phase_name(phase)},
                       {"size", 2},
                       {"up_since_ms", std::floor(host.started)}});
    history.phases.push_back({now(), host.id, phase, restarted});
  }
  discovery.publish(members);
}

std::vector<std::size_t> OutageHarness::busiest(std::size_t count) const {
  std::vector<std::pair<int, std::size_t>> order;
  for (std::size_t i = 0; i < hosts.size(); ++i)
    order.emplace_back(-calls_served_by(history, hosts[i].id, 0, now()), i);
  std::sort(order.begin(), order.end());
  std::vector<std::size_t> first;
  for (std::size_t i = 0; i < count; ++i)
    first.push_back(order[i].second);
  return first;
}

void OutageHarness::drain(const std::vector<std::size_t>& which) {
  for (const std::size_t i : which)
    hosts[i].server->draining = true;
  publish(which, HostPhase::draining, false);
}

void OutageHarness::remove(const std::vector<std::size_t>& which) {
  for (const std::size_t i : which)
    hosts[i].server.reset();
  publish(which, HostPhase::gone, false);
}

void OutageHarness::restart(const std::vector<std::size_t>& which) {
  for (const std::size_t i : which)
    serve_at(i);
  publish(which, HostPhase::ready, true);
}

void OutageHarness::hang(std::size_t host, bool hangs) {
  hosts[host].hangs = hangs;
  hosts[host].server->ignores_checks = hangs;
}

void OutageHarness::begin_outage(OutageForm form) {
  history.outages.push_back({now(), kNever, form == OutageForm::slow_answer});
  discovery.fail(form);
}

void OutageHarness::end_outage() {
  history.outages.back().to = now();
  discovery.fail(OutageForm::none);
}

void OutageHarness::write_configuration(const HarnessInvoker& invoker, const std::string& address) const {
  nlohmann::json file = invoker_config(invoker.listen, address);
  file["name"] = invoker.listen;
  file["known"] = discovery.to_configuration();
  file["limits"]["sockets"] = 256;
  auto& settings = file["settings"];
  settings["Balancers"] = options.invokers;
  settings["Bounds"]["Probes"] = options.accepts_probes;
  settings["Bounds"]["ConnIdle"] = options.connection_idle;
  settings["Rules"]["DrainGrace"] = options.drain_grace;
  settings["FamilyInfo"]["LingerIdle"] = options.instance_idle_timeout.count();
  options.adjust(file);
  std::ofstream(invoker.config, std::ios::trunc) << file.dump();
}

void OutageHarness::start(HarnessInvoker& invoker, bool waits) {
  write_configuration(invoker, discovery.address());
  history.starts.push_back(now());
  const std::map<std::string, std::string> environment = {{"BALANCER_CONFIG", invoker.config},
                                                          {"TMPDIR", folder.path}};
  invoker.process = std::make_unique<Process>(invoker.log, environment);
  invoker.takes_calls = false;
  ++invoker.starts;
  if (waits)
    REQUIRE(run_until([&] { return invoker.takes_calls; }, kReadyTimeout));
}

void OutageHarness::start_all() {
  for (auto& invoker : invokers)
    start(invoker);
}

void OutageHarness::kill(HarnessInvoker& invoker) {
  invoker.process.reset();
  excuse_open_calls(invoker);
  invoker.client.reset();
  invoker.takes_calls = false;
}

long OutageHarness::counter(HarnessInvoker& invoker, const std::string& name) {
  const auto printed = [&] {
    const std::string log = invoker.process->log();
    return std::count(log.begin(), log.end(), '\n');
  };
  const auto before = printed();
  invoker.process->signal(SIGUSR1);
  run_until([&] { return printed() > before; }, Millis(2000));
  run_for(Millis(50));
  return invoker.process->counter(name);
}

void OutageHarness::run_for(Millis duration) {
  run_until([] { return false; }, duration);
}

bool OutageHarness::run_until(const std::function<bool()>& done, Millis limit) {
  const Millis end = fixture.loop.now() + limit;
  while (fixture.loop.now() < end) {
    if (done())
      return true;
    run_once();
  }
  return done();
}

void OutageHarness::finish_calls() {
  clients_stopped_ = true;
  run_for(options.call_timeout + Millis(100));
}

void OutageHarness::run_once() {
  for (auto& invoker : invokers)
    step_client(invoker);
  fixture.loop.run_once(fixture.loop.now() + Millis(2), [] {});
}

}  // namespace lotusyard::test::outage
