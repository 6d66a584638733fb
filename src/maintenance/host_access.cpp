#include "maintenance/host_access.h"

#include <algorithm>
#include <cmath>

namespace lotusyard::maintenance {
namespace {

constexpr double kLeastSeconds = 0.001;  // over which calls are counted

}  // namespace

void HostAccess::log_lease_change(bool leased) {
  if (leased == leased_) return;
  log_(leased ? "lease held" : "lease over: hosts that may be next are left alone");
  services_.counters.add(leased ? "works.leases" : "works.leases_over");
}

void HostAccess::update(const MaintenanceState& board, const StateFreshness& knowledge) {
  log_lease_change(knowledge.is_leased);
  const bool ended = leased_ && !knowledge.is_leased;
  leased_ = knowledge.is_leased;
  const auto change = drain_tracker_.update(board, leased_, services_.endpoint_states.listed_hosts());
  for (const auto& line : change.log_lines) log_(line);
  services_.endpoint_states.set_in_maintenance(change.avoided, change.restart_slow_start,
                                               services_.loop.now());
  services_.endpoint_states.suspend_all(knowledge.must_suspend);
  if (!ended) return;
  // What was decided while the lease held must not go out after it.
  for (const auto& host : change.avoided) services_.host_connections.abort_unsent(host);
}

void HostAccess::attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) {
  using core::Outcome;
  if (outcome == Outcome::ok) {
    const auto* cls = core::class_named(services_.settings(), call.class_name);
    host_observer_.record_success(host, call.function, cls == nullptr ? 1 : cls->worth, services_.loop.now());
  } else if (outcome == Outcome::connect_failed || outcome == Outcome::reset) {
    host_observer_.record_failure(host, services_.loop.now());
  }
}

HostObservations HostAccess::observe(const MaintenanceState& board) {
  const Millis now = services_.loop.now();
  HostObservations out =
      drain_tracker_.observe(board, host_observer_, services_.endpoint_states.listed_hosts(),
                             services_.endpoint_states.disabled(), now);
  const auto& counters = services_.counters;
  const double taken = static_cast<double>(counters.value("calls.taken"));
  const double lost = static_cast<double>(counters.value("calls.refused") + counters.value("calls.failed"));
  const double seconds = std::max(kLeastSeconds, (now - counted_at_).count() / 1000);
  out.calls_per_second = std::round((taken - taken_) / seconds);
  out.failed_per_second = std::round((lost - lost_) / seconds);
  taken_ = taken;
  lost_ = lost;
  counted_at_ = now;
  return out;
}

}  // namespace lotusyard::maintenance
