#include "policy/outlier_detector.h"

#include <algorithm>

namespace lotusyard::policy {

bool OutlierDetector::is_usable(const Host& host) const {
  if (!host.is_ready() || !admits_call(host, host.health))
    return false;
  return !is_silent(host) && context_.now() - host.suspected_at > kMinStall;
}

bool OutlierDetector::serves(const Host& host, int class_index) const {
  return admits_call(host, host.class_health[ClassTable::slot(class_index)]);
}

bool OutlierDetector::is_silent(const Host& host) const {
  return host.in_flight > 0 && context_.now() - host.active_at > answer_timeout(functions_.any_run_time());
}

Millis OutlierDetector::answer_timeout(double run_time) {
  return std::max(kMinStall, Millis(run_time * kStallRunTimes));
}

bool OutlierDetector::admits_call(const Host& host, const Health& health) const {
  const bool probation_call_in_flight = health.probation && host.in_flight > 0;
  return context_.now() >= health.ejected_until && !probation_call_in_flight;
}

void OutlierDetector::record_success(Host& host, int class_index) {
  record_result(host, class_index, false, false);
  if (context_.now() >= host.health.ejected_until)
    host.health.probation = false;
}

// A class may fail on some hosts, or everywhere, so a host is compared with the class's rate over the fleet.
// With many invokers each would have two failures on each bad host, so one immediate error is enough.
void OutlierDetector::record_result(Host& host, int class_index, bool failed, bool immediate) {
  Health& health = host.class_health[ClassTable::slot(class_index)];
  double& fleet_rate = classes_.record(class_index).error_rate;
  health.error_rate += kErrorGain * (failed - health.error_rate);
  fleet_rate += kFleetErrorGain * (failed - fleet_rate);
  if (!failed) {
    if (context_.now() >= health.ejected_until)
      health.probation = false;
    return;
  }
  const bool is_immediate_outlier = context_.many_invokers() && immediate && fleet_rate < kFleetWideErrorRate;
  const bool is_outlier = health.error_rate > kEjectErrorRate + fleet_rate / 2;
  if (health.probation || is_immediate_outlier || is_outlier)
    eject(health);
}

void OutlierDetector::eject(Health& health) const {
  if (context_.now() < health.ejected_until)
    return;
  const Millis first = kFirstEjection * (context_.many_invokers() ? kEjectionFactorManyInvokers : 1);
  health.ejection = health.probation ? std::min(health.ejection * 2, kMaxEjection) : first;
  health.ejected_until = context_.now() + health.ejection;
  health.probation = true;
  health.error_rate = 0;
}

}  // namespace lotusyard::policy
