#include "maintenance/host_access.h"

#include <algorithm>
#include <cmath>

#include "metrics/call_counters.h"
#include "metrics/cluster_counters.h"

namespace lotusyard::maintenance {
namespace {

constexpr double kMinIntervalSeconds = 0.001;  // shortest interval for call rates

}  // namespace

void HostAccess::log_lease_change(bool leased) {
  if (leased == leased_)
    return;
  log_(leased ? "lease held" : "lease over: hosts that may be next are left alone");
  services_.counters.add(leased ? metrics::kWorksLeases : metrics::kWorksLeasesOver);
}

void HostAccess::update(const MaintenanceState& state, const StateFreshness& freshness) {
  log_lease_change(freshness.is_leased);
  const bool lease_lost = leased_ && !freshness.is_leased;
  leased_ = freshness.is_leased;
  const auto change = drain_tracker_.update(state, leased_, services_.endpoint_states.listed_hosts());
  for (const auto& line : change.log_lines)
    log_(line);
  services_.endpoint_states.set_in_maintenance(change.avoided, change.restart_slow_start,
                                               services_.loop.now());
  services_.endpoint_states.set_all_suspended(freshness.must_suspend);
  if (!lease_lost)
    return;
  // Calls assigned under the lease must not be sent after it has expired.
  for (const auto& host : change.avoided)
    services_.host_connections.abort_unsent(host);
}

void HostAccess::attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) {
  using core::Outcome;
  if (outcome == Outcome::ok) {
    const auto* call_class = core::class_named(services_.settings(), call.class_name);
    host_observer_.record_success(
        host, call.function, call_class == nullptr ? 1 : call_class->priority_weight, services_.loop.now());
  } else if (outcome == Outcome::connect_failed || outcome == Outcome::reset) {
    host_observer_.record_failure(host, services_.loop.now());
  }
}

HostObservations HostAccess::observe(const MaintenanceState& state) {
  const Millis now = services_.loop.now();
  HostObservations out =
      drain_tracker_.observe(state, host_observer_, services_.endpoint_states.listed_hosts(),
                             services_.endpoint_states.disabled_hosts(), now);
  const auto& counters = services_.counters;
  const double calls = static_cast<double>(counters.value(metrics::kCallsTaken));
  const double failures =
      static_cast<double>(counters.value(metrics::kCallsRefused) + counters.value(metrics::kCallsFailed));
  const double seconds = std::max(kMinIntervalSeconds, (now - counted_at_).count() / 1000);
  out.calls_per_second = std::round((calls - counted_calls_) / seconds);
  out.failed_per_second = std::round((failures - counted_failures_) / seconds);
  counted_calls_ = calls;
  counted_failures_ = failures;
  counted_at_ = now;
  return out;
}

}  // namespace lotusyard::maintenance
