// The faults that a soak selects from, and how each ends.
#include <algorithm>

#include "outage/soak.h"

namespace lotusyard::test::outage {
namespace {

constexpr std::size_t kMinReadyHosts = 3;
constexpr std::size_t kIdleConnections = 150;
// Milliseconds after SIGTERM until the process gets no new calls, and until it gets SIGKILL.
constexpr double kCallsAfterTerm = 200;
constexpr double kKillAfterTerm = 3700;

constexpr OutageForm kForms[] = {OutageForm::refused,      OutageForm::reset_at_once, OutageForm::silent,
                                 OutageForm::broken_event, OutageForm::trickle,       OutageForm::gap,
                                 OutageForm::garbage,      OutageForm::slow_answer};

}  // namespace

void Soak::begin_outage() {
  if (std::exchange(outage_, true))
    return;
  const std::size_t form = below(random_, std::size(kForms));
  log_step("outage of form " + std::to_string(form + 1));
  harness.begin_outage(kForms[form]);
  schedule_end(random_between(500, 9000), [this] {
    log_step("outage ends");
    harness.end_outage();
    outage_ = false;
  });
}

// Selects a host that no fault is affecting, unless too few such hosts would be left.
bool Soak::pick_host(std::size_t& host) {
  std::vector<std::size_t> free;
  for (std::size_t i = 0; i < harness.hosts.size(); ++i) {
    if (!busy_hosts_[i])
      free.push_back(i);
  }
  if (free.size() <= kMinReadyHosts)
    return false;
  host = free[below(random_, free.size())];
  busy_hosts_[host] = true;
  return true;
}

void Soak::remove_and_restart(std::size_t host, double leaves_after, double is_away_for) {
  schedule_end(leaves_after, [this, host, is_away_for] {
    harness.remove({host});
    schedule_end(is_away_for, [this, host] {
      log_step("restart of " + harness.hosts[host].id);
      harness.restart({host});
      busy_hosts_[host] = false;
    });
  });
}

void Soak::drain_hosts() {
  std::size_t host = 0;
  if (!pick_host(host))
    return;
  log_step("drain of " + harness.hosts[host].id);
  harness.drain({host});
  remove_and_restart(host, random_between(3000, 8000), random_between(1500, 3000));
}

// Discovery publishes the removal with a delay.
void Soak::kill_host() {
  std::size_t host = 0;
  if (!pick_host(host))
    return;
  log_step("crash of " + harness.hosts[host].id);
  harness.hosts[host].server.reset();
  remove_and_restart(host, random_between(1000, 2500), random_between(4000, 6000));
}

void Soak::hang_host() {
  std::size_t host = 0;
  if (!pick_host(host))
    return;
  log_step("hang of " + harness.hosts[host].id);
  harness.hang(host, true);
  schedule_end(random_between(300, 3000), [this, host] {
    harness.hang(host, false);
    busy_hosts_[host] = false;
  });
}

void Soak::reset_connections() {
  const auto& host = harness.hosts[below(random_, harness.hosts.size())];
  if (!host.server)
    return;
  log_step("resets at " + host.id);
  for (const auto& peer : host.server->server.peers)
    peer->close_later();
}

// Selects an invoker at random. Returns null if a fault is affecting it already, or if no other invoker would
// be left unaffected.
HarnessInvoker* Soak::pick_invoker() {
  if (busy_invokers_.size() + 1 >= harness.invokers.size())
    return nullptr;
  auto chosen =
      std::next(harness.invokers.begin(), static_cast<long>(below(random_, harness.invokers.size())));
  if (std::count(busy_invokers_.begin(), busy_invokers_.end(), &*chosen) > 0)
    return nullptr;
  busy_invokers_.push_back(&*chosen);
  return &*chosen;
}

void Soak::release(const HarnessInvoker& invoker) {
  busy_invokers_.erase(std::find(busy_invokers_.begin(), busy_invokers_.end(), &invoker));
}

void Soak::reload_invoker() {
  HarnessInvoker* invoker = pick_invoker();
  if (invoker == nullptr)
    return;
  log_step("SIGHUP");
  harness.write_configuration(*invoker, harness.discovery.address());
  invoker->process->signal(SIGHUP);
  release(*invoker);
}

// Calls that are open or arrive while the process is stopped are answered late.
void Soak::stop_invoker() {
  HarnessInvoker* invoker = pick_invoker();
  if (invoker == nullptr)
    return;
  log_step("SIGSTOP");
  invoker->sends_calls = false;
  invoker->process->signal(SIGSTOP);
  harness.excuse_open_calls(*invoker);
  schedule_end(random_between(200, 6000), [this, invoker] {
    log_step("SIGCONT");
    invoker->process->signal(SIGCONT);
    invoker->sends_calls = true;
    release(*invoker);
  });
}

void Soak::kill_invoker() {
  HarnessInvoker* invoker = pick_invoker();
  if (invoker == nullptr)
    return;
  log_step("SIGKILL");
  harness.kill(*invoker);
  schedule_end(random_between(100, 1500), [this, invoker] {
    harness.start(*invoker, false);
    release(*invoker);
  });
}

// Clients continue to use open connections for a while, and keep them open until the process is killed.
void Soak::terminate_invoker() {
  HarnessInvoker* invoker = pick_invoker();
  if (invoker == nullptr)
    return;
  log_step("SIGTERM");
  invoker->process->signal(SIGTERM);
  schedule_end(kCallsAfterTerm, [invoker] { invoker->sends_calls = false; });
  schedule_end(kKillAfterTerm, [this, invoker] {
    if (invoker->process->status() > 0)
      log_step("ended with status " + std::to_string(invoker->process->status()));
    invoker->process.reset();
    invoker->client.reset();
    invoker->open.clear();
    invoker->sends_calls = true;
    harness.start(*invoker, false);
    release(*invoker);
  });
}

// Opens connections that send nothing.
void Soak::open_idle_connections() {
  if (!idle_clients_.empty())
    return;
  log_step("idle connections");
  const HarnessInvoker& invoker = harness.invokers.front();
  for (std::size_t i = 0; i < kIdleConnections; ++i)
    idle_clients_.push_back(std::make_shared<ServiceClient>(harness.fixture, invoker.listen));
  schedule_end(random_between(500, 3000), [this] { idle_clients_.clear(); });
}

}  // namespace lotusyard::test::outage
