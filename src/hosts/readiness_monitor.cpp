#include "hosts/readiness_monitor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "metrics/host_counters.h"

namespace lotusyard::hosts {
namespace {

constexpr Millis kStepInterval{250};
// A host that is declared draining is checked again after this time, because the state may be temporary.
constexpr Millis kRecheckInterval{2000};
// While the list ages, connections to this many hosts are kept open: without one, a host cannot be told later
// from another process at its address. The number is small because all invokers do this at the same time.
constexpr std::size_t kStandbyHosts = 16;

bool is_unavailable(const HostReadiness& readiness, Millis now) {
  return readiness.declared_draining || now < readiness.unresponsive_until;
}

}  // namespace

ReadinessMonitor::ReadinessMonitor(ConnectionServices& services, ConnectionSelector& selector,
                                   std::map<std::string, PooledHost>& hosts)
    : services_(services), selector_(selector), hosts_(hosts) {}

void ReadinessMonitor::set_terms(const ReadinessTerms& terms) {
  const bool was_limited = rules_.terms().list_validity.count() > 0;
  rules_.set_terms(terms);
  if (!was_limited && terms.list_validity.count() > 0)
    schedule_step();
}

void ReadinessMonitor::confirm_list(Millis at) {
  const Millis now = services_.loop.now();
  ReadinessEvent event;
  event.kind = ReadinessEvent::Kind::list_confirmed;
  event.list_age = rules_.list_age(now);
  if (list_expired_)
    event.withheld_hosts = count_withheld();
  rules_.confirm_list(at);
  if (!list_expired_ || !rules_.is_list_current(now))
    return;
  list_expired_ = false;
  if (on_event_)
    on_event_(event);
}

bool ReadinessMonitor::may_choose(const PooledHost& host) const {
  const Millis now = services_.loop.iteration_started();
  return host.is_ready() &&
         rules_.evaluate(host.readiness(), has_known_connection(host), now).readiness != Readiness::withheld;
}

ReadinessResult ReadinessMonitor::evaluate(const PooledHost& host, const HostConnection& connection) const {
  return rules_.evaluate(host.readiness(),
                         rules_.is_same_process(host.readiness(), connection.connected_at()),
                         services_.loop.now());
}

ReadinessResult ReadinessMonitor::evaluate(const PooledHost& host) const {
  return rules_.evaluate(host.readiness(), has_known_connection(host), services_.loop.now());
}

bool ReadinessMonitor::accepts_proof(const PooledHost& host, const HostConnection& connection) const {
  return rules_.is_list_current(services_.loop.now()) ||
         rules_.is_same_process(host.readiness(), connection.connected_at());
}

bool ReadinessMonitor::has_known_connection(const PooledHost& host) const {
  const auto& connections = host.connections();
  return std::any_of(connections.begin(), connections.end(), [&](const auto& connection) {
    return connection->is_open() && connection->has_capacity({}) &&
           rules_.is_same_process(host.readiness(), connection->connected_at());
  });
}

// Only a served call proves that the host is not draining: a draining host still answers whether a function
// is loaded.
void ReadinessMonitor::on_call_answered(PooledHost& host, const HostConnection& connection, Millis sent_at,
                                        core::Outcome outcome) {
  if (outcome == core::Outcome::at_capacity)
    return host.readiness().record_refused(services_.loop.now());
  if (outcome == core::Outcome::ok && accepts_proof(host, connection))
    host.readiness().record_accepted(sent_at);
}

void ReadinessMonitor::on_checked(PooledHost& host, const HostConnection& connection, Millis sent_at,
                                  core::Outcome outcome) {
  const Millis now = services_.loop.now();
  const bool was_draining = host.readiness().declared_draining;
  if (outcome == core::Outcome::ok) {
    if (accepts_proof(host, connection))
      host.readiness().record_healthy(sent_at, now);
  } else if (outcome == core::Outcome::error) {
    services_.counters.add(metrics::kHostsReadinessUnhealthy);
    host.readiness().record_unhealthy(now);
  } else if (outcome == core::Outcome::timeout) {
    services_.counters.add(metrics::kHostsReadinessUnanswered);
    host.readiness().record_unresponsive(now);
  }
  const bool is_draining = host.readiness().declared_draining;
  if (is_draining && !was_draining)
    report(ReadinessEvent::Kind::host_withheld, host.endpoint().entry.host);
  if (was_draining && !is_draining)
    report(ReadinessEvent::Kind::host_readmitted, host.endpoint().entry.host);
  count_unavailable();
}

bool ReadinessMonitor::keeps_when_idle(const PooledHost& host, const HostConnection& connection) const {
  if (!rules_.terms().checks_hosts || !rules_.is_list_ageing(services_.loop.now()))
    return false;
  if (!host.is_ready() || !rules_.is_same_process(host.readiness(), connection.connected_at()))
    return false;
  const auto& all = host.connections();
  return std::none_of(all.begin(), all.end(), [&](const auto& other) {
    return other.get() != &connection && other->is_open() && other->has_capacity({});
  });
}

void ReadinessMonitor::print_withheld(std::ostream& out, std::size_t max_lines) const {
  std::size_t lines = 0;
  for (const auto& [id, host] : hosts_) {
    const ReadinessResult result = evaluate(host);
    if (!host.is_ready() || !result.reason || ++lines > max_lines)
      continue;
    out << "host " << id << " gets no new work: " << name_of(*result.reason) << '\n';
  }
  if (lines > max_lines)
    out << "and " << lines - max_lines << " hosts more\n";
  out.flush();
}

void ReadinessMonitor::schedule_step() {
  timer_ = services_.loop.schedule_at(services_.loop.now() + kStepInterval, [this] { step(); });
}

void ReadinessMonitor::step() {
  if (rules_.terms().list_validity.count() <= 0)
    return;
  schedule_step();
  const Millis now = services_.loop.now();
  if (!rules_.is_list_current(now) && !std::exchange(list_expired_, true)) {
    services_.counters.add(metrics::kEndpointsListExpired);
    report(ReadinessEvent::Kind::list_expired);
  }
  if (unavailable_hosts_ > 0) {
    count_unavailable();
    recheck_draining();
  }
  if (rules_.terms().checks_hosts && rules_.is_list_ageing(now))
    open_standby_connections();
}

void ReadinessMonitor::report(ReadinessEvent::Kind kind, const std::string& host) {
  if (!on_event_)
    return;
  ReadinessEvent event;
  event.kind = kind;
  event.list_age = list_age();
  event.host = host;
  if (kind == ReadinessEvent::Kind::list_expired)
    event.withheld_hosts = count_withheld();
  on_event_(event);
}

std::size_t ReadinessMonitor::count_withheld() const {
  return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [this](const auto& entry) {
    return entry.second.is_ready() && evaluate(entry.second).readiness == Readiness::withheld;
  }));
}

void ReadinessMonitor::count_unavailable() {
  const Millis now = services_.loop.now();
  unavailable_hosts_ =
      static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [now](const auto& entry) {
        return entry.second.is_ready() && is_unavailable(entry.second.readiness(), now);
      }));
}

void ReadinessMonitor::recheck_draining() {
  const Millis now = services_.loop.now();
  for (auto& [id, host] : hosts_) {
    if (!host.is_ready() || !host.readiness().declared_draining)
      continue;
    if (now - host.readiness().checked_at < kRecheckInterval)
      continue;
    host.readiness().checked_at = now;
    HostConnection* open = host.find_open_connection();
    if (open != nullptr) {
      open->send_readiness_check();
    } else if (rules_.is_list_current(now)) {
      open_connection(host);  // a later step sends the check
    }
  }
}

// Starts at a different host in each process, so that the processes together spread over the hosts.
void ReadinessMonitor::open_standby_connections() {
  std::vector<PooledHost*> unconnected;
  std::size_t connected = 0;
  for (auto& [id, host] : hosts_) {
    if (!host.is_ready() || host.readiness().declared_draining)
      continue;
    if (!host.connections().empty()) {
      ++connected;
    } else if (rules_.is_same_process(host.readiness(), services_.loop.now())) {
      unconnected.push_back(&host);
    }
  }
  if (unconnected.empty())
    return;
  const auto rank = static_cast<std::size_t>(std::max(services_.dispatcher->settings().rank, 0));
  const std::size_t first = rank * kStandbyHosts % unconnected.size();
  for (std::size_t i = 0; i < unconnected.size() && connected < kStandbyHosts; ++i) {
    if (!open_connection(*unconnected[(first + i) % unconnected.size()]))
      return;
    ++connected;
  }
}

// Returns false if this machine cannot make connections now.
bool ReadinessMonitor::open_connection(PooledHost& host) {
  const ConnectionChoice choice = selector_.select(host, {});
  if (choice.connection != nullptr)
    services_.counters.add(metrics::kHostsStandbyConnections);
  return !choice.should_wait;
}

}  // namespace lotusyard::hosts
