#include "policy/load_orders.h"

#include <algorithm>

namespace lotusyard::policy {

void LoadOrders::send(const Function& function, const Host& host, InstanceSet& instances) {
  const int wanted = placement_.is_warm(instances) ? std::min(instances.warm + 1, kMaxInstances) : 1;
  context_.emit(action::Load{host.entry.host, function.id, wanted});
  budget_.record_order();
  functions_.begin_load(instances);
}

void LoadOrders::warm_up_returned_host(Function& function) {
  for (auto& host : hosts_) {
    const Millis idle_time = context_.now() - std::max(host.entry.started, host.active_at);
    const bool is_idle = function.queue.empty() && host.is_newly_returned() && idle_time >= kAliveTime;
    const bool may_order = context_.settings().load_orders.allowed && !context_.many_invokers() &&
                           context_.is_eligible(function.tenant, function, host);
    if (!is_idle || !may_order || !selector_.may_load(host) || !is_allowed())
      continue;
    host.active_at = context_.now();
    return send(function, host, function.instances_on(hosts_.index_of(host)));
  }
}

void LoadOrders::spread(Function& function, const Host& host, InstanceSet& instances) {
  const bool is_first = function.hosts.empty() || function.hosts[0] == instances.host;
  const bool is_excluded = is_first || !context_.is_eligible(function.tenant, function, host);
  if (!context_.many_invokers() || function.host_concurrency < kSpreadConcurrency || is_excluded)
    return;
  const Host& first = hosts_.at(function.hosts[0]);
  const double overload = kOversubscribedStretch * first.entry.weight;
  const bool is_overloaded = outliers_.is_usable(first) && host_load_.reported_calls(first) + 1 >= overload;
  if (!is_overloaded || !selector_.may_load(host) || !is_allowed())
    return;
  if (context_.now() < function.no_order_before || slow_start_.is_cold(host))
    return;
  send(function, host, instances);
}

}  // namespace lotusyard::policy
