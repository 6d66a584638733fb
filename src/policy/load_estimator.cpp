#include "policy/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lotusyard::policy {

bool LoadEstimator::gains_from_load(Function& function) {
  return queued_after_load(function, usable_lanes(function)) > 0;
}

double LoadEstimator::load_weight(Function& function) {
  const int lanes = usable_lanes(function);
  const double queued = queued_after_load(function, lanes);
  if (queued <= 0)
    return std::numeric_limits<double>::infinity();
  return functions_.run_time(function) + functions_.load_time(function) * (lanes + 1) / queued;
}

// K: lanes of instances where the next request may go. Lanes at a host that answers `full` are used by other
// invokers: if they counted, calls would wait there until their deadlines while other hosts idle.
int LoadEstimator::usable_lanes(Function& function) {
  int lanes = 0;
  const Request& request = *admission_.next_to_serve(function);
  for (const auto& instances : function.instances) {
    Host& host = hosts_.host_of(instances);
    if (!outliers_.is_usable(host) || !outliers_.serves(host, function.class_index))
      continue;
    if (!admission_.is_wait_acceptable(request, host) || context_.now() < host.full_until)
      continue;
    if (context_.many_invokers() && !slow_start_.admits(request, host))
      continue;
    if (!context_.is_eligible(request.tenant, function, host))
      continue;
    const int count = (placement_.is_warm(instances) ? instances.warm : 0) + instances.loading;
    const int free = std::max(0, static_cast<int>(std::ceil(host.limit)) - host.in_flight);
    lanes += std::min(count * function.lanes, instances.in_flight + free);
  }
  return lanes;
}

double LoadEstimator::queued_after_load(const Function& function, int lanes) const {
  const double queued = static_cast<double>(function.queue.size());
  const double run_time = functions_.run_time(function);
  if (lanes == 0)
    return queued;
  // The load time is capped by the objective: otherwise a slow store would leave the queue without a load.
  const double objective = classes_.objective(function.class_index);
  double load_time = functions_.load_time(function);
  if (objective > 0)
    load_time = std::min(load_time, std::max(objective - run_time, run_time));
  if (run_time <= 0 || load_time <= 0)
    return 0;  // no samples: load only if nothing is warm
  return queued - load_time * lanes / run_time;
}

}  // namespace lotusyard::policy
