#include "policy/slow_start_budget.h"

#include <algorithm>

namespace lotusyard::policy {

bool SlowStartBudget::is_cold(const Host& host) const {
  const Millis since = std::max(host.entry.started, host.died_at);
  return host.lost || (since.count() > 0 && context_.now() - since < context_.settings().slow_start.duration);
}

bool SlowStartBudget::admits(const Request& request, Host& host) {
  if (!is_cold(host))
    return true;
  const Settings& settings = context_.settings();
  const Millis since = std::max(host.entry.started, host.died_at);
  const double age = host.lost ? 0 : std::max(0.0, (context_.now() - since) / settings.slow_start.duration);
  const double share = settings.slow_start.initial + (1 - settings.slow_start.initial) * std::min(1.0, age);
  const double work = charged_work(request);
  // What one of many routers gets from a warm host is part of what that host can do; many share its cores.
  const double rate = host.entry.weight * (context_.many_routers() ? context_.own_share() : served_rate());
  const double pace = kSlowStartSafety * settings.slow_start.factor * share * rate;
  fill(host, work, pace);
  // Where a miss has used up the tokens, a host in slow start would stay empty: an instance that is known
  // there is used ahead of the tokens. Not before this router's first call there, as loads that end together
  // would bring one call of each router.
  const bool may_overdraw = context_.many_routers() && host.received_calls;
  const InstanceSet* known = may_overdraw ? request.function->find_instances(hosts_.index_of(host)) : nullptr;
  return host.tokens >= (known != nullptr && known->proven ? 0 : work);
}

void SlowStartBudget::fill(Host& host, double work, double pace) {
  if (host.tokens_at == kNever) {
    host.tokens = work * context_.random_fraction();
    host.received_calls = false;
  }
  if (host.tokens_at > kNever)
    host.tokens += pace * (context_.now() - host.tokens_at).count();
  host.tokens_at = context_.now();
  const double most = pace * context_.settings().slow_start.window.count() / kSlowStartSavedParts;
  host.tokens = std::min(host.tokens, std::max(work, most));
}

void SlowStartBudget::charge(const Request& request, Host& host) {
  if (!is_cold(host))
    return;
  host.tokens -= charged_work(request);
  host.received_calls = true;
}

// Many hosts in slow start would raise the rate that paces them: only what warm ones serve is counted.
void SlowStartBudget::record_served(const Request& request, const Host& host) {
  if (context_.many_routers() || is_cold(host))
    return;
  const double left = served_ * context_.decay(served_at_, kServedRateTimeConstant);
  served_ = left + work(request) / std::max(host.entry.weight, warm_weight());
  served_at_ = context_.now();
}

double SlowStartBudget::warm_weight() const {
  double sum = 0;
  for (const auto& host : hosts_) {
    sum += outliers_.is_usable(host) && !is_cold(host) ? host.entry.weight : 0;
  }
  return sum;
}

// Work that this router gets served by a unit of warm weight, in milliseconds for each millisecond.
double SlowStartBudget::served_rate() const {
  const double decayed = served_ * context_.decay(served_at_, kServedRateTimeConstant);
  const double served = decayed / kServedRateTimeConstant.count();
  return served > 0 && warm_weight() > 0 ? served : context_.own_share();
}

// The rule weighs a call as the mean work of its class.
double SlowStartBudget::charged_work(const Request& request) const {
  const double baseline = classes_.record(request.class_index).baseline;
  return context_.many_routers() && baseline > 0 ? baseline : work(request);
}

double SlowStartBudget::work(const Request& request) const {
  const double run_time = classes_.record(request.class_index).run_time.value;
  if (run_time > 0)
    return run_time;
  const double by_objective = classes_.objective(request.class_index) / kObjectiveOverWork;
  return std::max({functions_.any_run_time(), by_objective, 1.0});
}

}  // namespace lotusyard::policy
