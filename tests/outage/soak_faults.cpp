// The faults that a soak draws from, and how each ends.
#include <algorithm>

#include "outage/soak.h"

namespace lotusyard::test::outage {
namespace {

constexpr std::size_t kMinReadyHosts = 3;
constexpr std::size_t kCrowd = 150;
// How a process that is told to end is treated: new calls for a while, then SIGKILL.
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
  note("outage of form " + std::to_string(form + 1));
  rig.begin_outage(kForms[form]);
  end_later(between(500, 9000), [this] {
    note("outage ends");
    rig.end_outage();
    outage_ = false;
  });
}

// Chooses a ready host, unless too few would be left.
bool Soak::take_host(std::size_t& host) {
  std::vector<std::size_t> free;
  for (std::size_t i = 0; i < rig.hosts.size(); ++i) {
    if (!busy_hosts_[i])
      free.push_back(i);
  }
  if (free.size() <= kMinReadyHosts)
    return false;
  host = free[below(random_, free.size())];
  busy_hosts_[host] = true;
  return true;
}

void Soak::leave_and_return(std::size_t host, double leaves_after, double is_away_for) {
  end_later(leaves_after, [this, host, is_away_for] {
    rig.remove({host});
    end_later(is_away_for, [this, host] {
      note("return of " + rig.hosts[host].id);
      rig.restart({host});
      busy_hosts_[host] = false;
    });
  });
}

void Soak::drain_hosts() {
  std::size_t host = 0;
  if (!take_host(host))
    return;
  note("drain of " + rig.hosts[host].id);
  rig.drain({host});
  leave_and_return(host, between(3000, 8000), between(1500, 3000));
}

// Discovery notices late.
void Soak::kill_host() {
  std::size_t host = 0;
  if (!take_host(host))
    return;
  note("death of " + rig.hosts[host].id);
  rig.hosts[host].server.reset();
  leave_and_return(host, between(1000, 2500), between(4000, 6000));
}

void Soak::hang_host() {
  std::size_t host = 0;
  if (!take_host(host))
    return;
  note("hang of " + rig.hosts[host].id);
  rig.hang(host, true);
  end_later(between(300, 3000), [this, host] {
    rig.hang(host, false);
    busy_hosts_[host] = false;
  });
}

void Soak::reset_connections() {
  const auto& host = rig.hosts[below(random_, rig.hosts.size())];
  if (!host.server)
    return;
  note("resets at " + host.id);
  for (const auto& peer : host.server->server.peers)
    peer->close_later();
}

// Chooses an invoker to which nothing happens; one of them always stays so.
RiggedInvoker* Soak::take_invoker() {
  if (busy_invokers_.size() + 1 >= rig.invokers.size())
    return nullptr;
  auto chosen = std::next(rig.invokers.begin(), static_cast<long>(below(random_, rig.invokers.size())));
  if (std::count(busy_invokers_.begin(), busy_invokers_.end(), &*chosen) > 0)
    return nullptr;
  busy_invokers_.push_back(&*chosen);
  return &*chosen;
}

void Soak::release(const RiggedInvoker& invoker) {
  busy_invokers_.erase(std::find(busy_invokers_.begin(), busy_invokers_.end(), &invoker));
}

void Soak::reload_invoker() {
  RiggedInvoker* invoker = take_invoker();
  if (invoker == nullptr)
    return;
  note("SIGHUP");
  rig.write_configuration(*invoker, rig.discovery.address());
  invoker->process->signal(SIGHUP);
  release(*invoker);
}

// What was open, or came, while it was stopped is answered late.
void Soak::stop_invoker() {
  RiggedInvoker* invoker = take_invoker();
  if (invoker == nullptr)
    return;
  note("SIGSTOP");
  invoker->sends_calls = false;
  invoker->process->signal(SIGSTOP);
  rig.excuse_open_calls(*invoker);
  end_later(between(200, 6000), [this, invoker] {
    note("SIGCONT");
    invoker->process->signal(SIGCONT);
    invoker->sends_calls = true;
    release(*invoker);
  });
}

void Soak::kill_invoker() {
  RiggedInvoker* invoker = take_invoker();
  if (invoker == nullptr)
    return;
  note("SIGKILL");
  rig.kill(*invoker);
  end_later(between(100, 1500), [this, invoker] {
    rig.start(*invoker, false);
    release(*invoker);
  });
}

// Clients use open connections for a while, and keep them until the kill.
void Soak::terminate_invoker() {
  RiggedInvoker* invoker = take_invoker();
  if (invoker == nullptr)
    return;
  note("SIGTERM");
  invoker->process->signal(SIGTERM);
  end_later(kCallsAfterTerm, [invoker] { invoker->sends_calls = false; });
  end_later(kKillAfterTerm, [this, invoker] {
    if (invoker->process->status() > 0)
      note("ended with status " + std::to_string(invoker->process->status()));
    invoker->process.reset();
    invoker->client.reset();
    invoker->open.clear();
    invoker->sends_calls = true;
    rig.start(*invoker, false);
    release(*invoker);
  });
}

// Connections that say nothing.
void Soak::gather_crowd() {
  if (!crowd_.empty())
    return;
  note("crowd");
  const RiggedInvoker& invoker = rig.invokers.front();
  for (std::size_t i = 0; i < kCrowd; ++i)
    crowd_.push_back(std::make_shared<ServiceClient>(rig.fixture, invoker.listen));
  end_later(between(500, 3000), [this] { crowd_.clear(); });
}

}  // namespace lotusyard::test::outage
