#include "policy/host_selector.h"

#include <algorithm>
#include <cstddef>

namespace lotusyard::policy {

bool HostSelector::may_send(const Request& request, Host& host) {
  if (request.done || request.streaming || context_.now() >= request.deadline)
    return false;
  if (!context_.is_eligible(request.tenant, *request.function, host))
    return false;
  if (!retry_rules_.may_attempt(request))
    return false;
  const int index = hosts_.index_of(host);
  for (const auto& attempt : request.attempts) {
    if (is_in_flight(attempt) && attempt.host == index)
      return false;
  }
  return outliers_.is_usable(host) && outliers_.serves(host, request.class_index) &&
         retry_rules_.may_repeat_on(request, host) && slow_start_.admits(request, host);
}

bool HostSelector::may_load(const Host& host) const {
  return outliers_.is_usable(host) && functions_.loads_in_progress() < kMaxLoadsInProgress;
}

InstanceSet* HostSelector::select(Function& function, const Request& request) {
  const bool by_reports = context_.many_invokers() && context_.settings().host_protocol.answers_misses;
  return by_reports ? select_least_loaded(function, request) : select_warm(function, request);
}

InstanceSet* HostSelector::select_warm(Function& function, const Request& request) {
  InstanceSet* best = nullptr;
  double least = 0;
  for (auto& instances : function.instances) {
    Host& host = hosts_.host_of(instances);
    const bool is_full = instances.in_flight >= instances.warm * function.lanes;
    if (!placement_.is_warm(instances) || is_full || !host_load_.has_capacity(host))
      continue;
    if (!admission_.is_wait_acceptable(request, host) || !may_send(request, host))
      continue;
    double score = host_load_.busyness(host);
    if (request.last_tried(instances.host)) {
      score *= kTriedHostFactor;
    } else if (host.is_newly_returned()) {
      score *= kReturnedHostFactor;
    }
    if (best != nullptr && score >= least)
      continue;
    best = &instances;
    least = score;
  }
  return best;
}

// If each of many invokers always used the first warm host of a function, some hosts would stay overloaded
// beside idle ones. A call goes where reports promise the shortest wait, even if the host may have no
// instance: misses are cheap.
InstanceSet* HostSelector::select_least_loaded(Function& function, const Request& request) {
  placement_.assign_hosts(function);
  const auto reach = static_cast<std::size_t>(std::ptrdiff_t{function.agreed_hosts} + kSpill);
  const std::size_t count = std::min(function.hosts.size(), reach);
  int best = -1;
  double least = 0;
  for (std::size_t i = 0; i < count; ++i) {
    if (!has_lane(function, request, i))
      continue;
    const double host_cost = cost(function, request, i);
    if (best >= 0 && host_cost >= least)
      continue;
    best = function.hosts[i];
    least = host_cost;
  }
  if (best < 0)
    return select_warm(function, request);
  InstanceSet& instances = function.instances_on(best);
  instances.warm = std::max(instances.warm, 1);
  return &instances;
}

bool HostSelector::has_lane(Function& function, const Request& request, std::size_t position) {
  const int index = function.hosts[position];
  Host& host = hosts_.at(index);
  if (!host_load_.has_capacity(host))
    return false;
  const InstanceSet* instances = function.find_instances(index);
  if (instances != nullptr && placement_.is_warm(*instances)) {
    if (instances->in_flight >= instances->warm * function.lanes)
      return false;
  } else {
    if (instances != nullptr && (instances->loading > 0 || placement_.is_absent(*instances)))
      return false;
    const bool has_missed = request.attempts.size() > 1 || request.last_never_ran();
    if (position > 0 && has_missed)
      return false;
  }
  return admission_.is_wait_acceptable(request, host) && may_send(request, host);
}

// In waiting calls per unit of host weight.
double HostSelector::cost(Function& function, const Request& request, std::size_t position) const {
  const int index = function.hosts[position];
  const Host& host = hosts_.at(index);
  const InstanceSet* instances = function.find_instances(index);
  const bool is_known = instances != nullptr && placement_.is_warm(*instances);
  const bool is_unagreed = !is_known && static_cast<int>(position) >= function.agreed_hosts;
  const double further = static_cast<double>(position) + (is_unagreed ? kUnagreedHostPenalty : 0.0);
  const double calls = host_load_.reported_calls(host) + host.in_flight + 1;
  const double cost = std::max(1.0, calls / host.entry.weight) + kFurtherHostCost * further;
  return request.last_tried(index) ? cost * kTriedHostFactor : cost;
}

int HostSelector::select_for_load(Function& function) {
  placement_.assign_hosts(function);
  const Request& request = *admission_.next_to_serve(function);
  const Millis time(functions_.load_time(function) + functions_.baseline(function));
  const bool in_time = context_.now() + time <= request.objective_at;
  // Calls that spill past the agreed hosts load instances there, which evict others until every call needs a
  // load. So the hosts are limited, though a call may wait while a further host has capacity. Lost hosts and
  // those in slow start do not count, and a load in time is not limited.
  const bool is_bounded = !context_.settings().host_protocol.answers_misses && !in_time;
  int passed = 0;
  for (const int index : function.hosts) {
    Host& host = hosts_.at(index);
    if (is_bounded && passed > kSpill * function.agreed_hosts)
      return -1;
    const bool counts = outliers_.is_usable(host) && outliers_.serves(host, function.class_index);
    if (counts && !slow_start_.is_cold(host))
      ++passed;
    if (may_load_for(function, request, host))
      return index;
  }
  return -1;
}

bool HostSelector::may_load_for(Function& function, const Request& request, Host& host) {
  if (!may_load(host) || !outliers_.serves(host, function.class_index))
    return false;
  if (!host_load_.has_capacity(host))
    return false;
  if (!context_.is_eligible(request.tenant, function, host))
    return false;
  const InstanceSet* instances = function.find_instances(hosts_.index_of(host));
  if (instances != nullptr && (placement_.is_warm(*instances) || instances->loading > 0))
    return false;
  const Settings& settings = context_.settings();
  // A load order uses no slow-start budget.
  const bool by_order =
      context_.many_invokers() && settings.host_protocol.answers_misses && settings.load_orders.allowed;
  return (by_order || slow_start_.admits(request, host)) && admission_.is_wait_acceptable(request, host);
}

}  // namespace lotusyard::policy
