#include "outage/outage_rig.h"

#include <algorithm>

#include "outage/checker.h"

namespace lotusyard::test::outage {
namespace {

constexpr Millis kReadyTimeout{10000};
constexpr std::size_t kMaxOpenCalls = 24;
constexpr const char* kReadyLine = "listens on";
constexpr std::uint64_t kFirstFunction = 0xa1;

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

OutageRig::OutageRig(const RigOptions& given) : options(given) {
  for (int i = 0; i < options.hosts; ++i)
    add_host(static_cast<std::size_t>(i));
  std::vector<std::size_t> all(hosts.size());
  for (std::size_t i = 0; i < all.size(); ++i)
    all[i] = i;
  publish(all, HostPhase::ready, false);
  for (int i = 0; i < options.invokers; ++i) {
    RiggedInvoker& invoker = invokers.emplace_back();
    const std::string name = "n" + std::to_string(i);
    invoker.listen = free_address();
    invoker.config = folder.path + "/" + name + ".json";
    invoker.log = folder.path + "/" + name + ".log";
  }
}

// Clients, hosts and discovery end before the loop.
OutageRig::~OutageRig() {
  invokers.clear();
  hosts.clear();
}

void OutageRig::add_host(std::size_t number) {
  RiggedHost host;
  host.id = "h" + std::to_string(number);
  host.address = free_address();
  hosts.push_back(std::move(host));
  serve_at(hosts.back());
}

void OutageRig::serve_at(RiggedHost& host) {
  host.server = std::make_unique<StandInHost>(world.loop, world.pool, host.address);
  const std::string id = host.id;
  host.server->on_request = [this, id](const hosts::Reply& line) {
    const auto found =
        std::find_if(hosts.begin(), hosts.end(), [&](const RiggedHost& one) { return one.id == id; });
    record_request(*found, line);
  };
}

void OutageRig::record_request(const RiggedHost& host, const hosts::Reply& line) {
  HostRequest request;
  request.at = now();
  request.host = host.id;
  request.turned_away = host.server->draining;
  request.body = line.body;
  request.kind = HostRequest::Kind::call;
  if (line.id == "ensure") {
    if (line.fields.find("count=0") != std::string::npos)
      return;  // only a question
    request.kind = HostRequest::Kind::load;
  } else if (line.id != "exec") {
    return;
  }
  history.requests.push_back(std::move(request));
}

void OutageRig::publish(const std::vector<std::size_t>& which, HostPhase phase, bool restarted) {
  nlohmann::json members = nlohmann::json::array();
  for (const std::size_t i : which) {
    RiggedHost& host = hosts[i];
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

std::vector<std::size_t> OutageRig::busiest(std::size_t count) const {
  std::vector<std::pair<int, std::size_t>> order;
  for (std::size_t i = 0; i < hosts.size(); ++i)
    order.emplace_back(-calls_served_by(history, hosts[i].id, 0, now()), i);
  std::sort(order.begin(), order.end());
  std::vector<std::size_t> first;
  for (std::size_t i = 0; i < count; ++i)
    first.push_back(order[i].second);
  return first;
}

void OutageRig::drain(const std::vector<std::size_t>& which) {
  for (const std::size_t i : which)
    hosts[i].server->draining = true;
  publish(which, HostPhase::draining, false);
}

void OutageRig::remove(const std::vector<std::size_t>& which) {
  for (const std::size_t i : which)
    hosts[i].server.reset();
  publish(which, HostPhase::gone, false);
}

void OutageRig::restart(const std::vector<std::size_t>& which) {
  for (const std::size_t i : which)
    serve_at(hosts[i]);
  publish(which, HostPhase::ready, true);
}

void OutageRig::begin_outage(OutageForm form) {
  history.outages.push_back({now()});
  discovery.fail(form);
}

void OutageRig::end_outage() {
  history.outages.back().to = now();
  discovery.fail(OutageForm::none);
}

void OutageRig::write_configuration(const RiggedInvoker& invoker, const std::string& address) const {
  nlohmann::json file = platform_file(invoker.listen, address);
  file["name"] = invoker.listen;
  file["known"] = discovery.known();
  file["limits"]["sockets"] = 256;
  auto& settings = file["settings"];
  settings["Balancers"] = options.invokers;
  settings["Bounds"]["Probes"] = options.accepts_probes;
  settings["Bounds"]["ConnIdle"] = options.connection_idle;
  settings["Rules"]["DrainGrace"] = options.drain_grace;
  options.adjust(file);
  std::ofstream(invoker.config, std::ios::trunc) << file.dump();
}

void OutageRig::start(RiggedInvoker& invoker, bool waits) {
  write_configuration(invoker, discovery.address());
  const std::map<std::string, std::string> environment = {{"BALANCER_CONFIG", invoker.config},
                                                          {"TMPDIR", folder.path}};
  invoker.process = std::make_unique<Process>(invoker.log, environment);
  invoker.takes_calls = false;
  ++invoker.starts;
  if (waits)
    REQUIRE(run_until([&] { return invoker.takes_calls; }, kReadyTimeout));
}

void OutageRig::start_all() {
  for (auto& invoker : invokers)
    start(invoker);
}

void OutageRig::excuse_open_calls(RiggedInvoker& invoker) {
  for (const auto& [tag, index] : invoker.open)
    history.calls[index].excused = true;
  invoker.open.clear();
}

void OutageRig::kill(RiggedInvoker& invoker) {
  invoker.process.reset();
  excuse_open_calls(invoker);
  invoker.client.reset();
  invoker.takes_calls = false;
}

long OutageRig::counter(RiggedInvoker& invoker, const std::string& name) {
  const auto printed = [&] {
    return std::count(invoker.process->log().begin(), invoker.process->log().end(), '\n');
  };
  const auto before = printed();
  invoker.process->signal(SIGUSR1);
  run_until([&] { return printed() > before; }, Millis(2000));
  run_for(Millis(50));
  return invoker.process->counter(name);
}

void OutageRig::run_for(Millis duration) {
  run_until([] { return false; }, duration);
}

bool OutageRig::run_until(const std::function<bool()>& done, Millis limit) {
  const Millis end = world.loop.now() + limit;
  while (world.loop.now() < end) {
    if (done())
      return true;
    turn();
  }
  return done();
}

void OutageRig::settle() {
  quiet_ = true;
  run_for(options.call_timeout + Millis(100));
  quiet_ = false;
}

void OutageRig::turn() {
  for (auto& invoker : invokers)
    step_client(invoker);
  world.loop.run_once(world.loop.now() + Millis(2), [] {});
}

// Reads the log of a process that has just started.
void OutageRig::check_ready(RiggedInvoker& invoker) {
  const std::string log = invoker.process->log();
  std::size_t lines = 0;
  for (auto at = log.find(kReadyLine); at != std::string::npos; at = log.find(kReadyLine, at + 1))
    ++lines;
  invoker.takes_calls = lines >= invoker.starts;
}

void OutageRig::step_client(RiggedInvoker& invoker) {
  if (invoker.process && !invoker.takes_calls)
    check_ready(invoker);
  if (invoker.client)
    read_answers(invoker);
  const bool is_due = world.loop.now() >= invoker.next_call_at;
  if (quiet_ || !invoker.takes_calls || !invoker.process || !is_due || invoker.open.size() >= kMaxOpenCalls)
    return;
  invoker.next_call_at = world.loop.now() + options.call_interval;
  if (!invoker.client || invoker.client->closed)
    connect_client(invoker);
  send_call(invoker);
}

// A call that was read and got no answer is lost.
void OutageRig::connect_client(RiggedInvoker& invoker) {
  invoker.open.clear();
  invoker.read_answers = 0;
  invoker.client = std::make_shared<Tablet>(world, invoker.listen);
}

void OutageRig::read_answers(RiggedInvoker& invoker) {
  const auto& got = invoker.client->got;
  for (; invoker.read_answers < got.size(); ++invoker.read_answers) {
    const auto& [status, body] = got[invoker.read_answers];
    const auto found = invoker.open.find(body);
    if (found == invoker.open.end())
      continue;
    ClientCall& call = history.calls[found->second];
    call.answered_at = now();
    call.status = status;
    ++call.answers;
    invoker.open.erase(found);
  }
}

void OutageRig::send_call(RiggedInvoker& invoker) {
  const int number = ++next_call_;
  const bool repeatable = number % 3 != 0;
  ClientCall call;
  call.body = (repeatable ? "check " : "record ") + std::to_string(number);
  call.repeatable = repeatable;
  call.sent_at = now();
  call.timeout = options.call_timeout.count();
  const auto function = kFirstFunction + static_cast<std::uint64_t>(number % options.functions);
  invoker.client->call(number, repeatable ? "bin-check" : "bin-record", call.body,
                       static_cast<int>(call.timeout), function);
  invoker.open[call.body] = history.calls.size();
  history.calls.push_back(std::move(call));
}

}  // namespace lotusyard::test::outage
