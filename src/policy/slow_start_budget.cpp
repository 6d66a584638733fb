#include "policy/slow_start_budget.h"

#include <algorithm>

namespace lotusyard::policy {

bool SlowStartBudget::is_cold(const Host& host) const {
  const Millis since = std::max(host.entry.started, host.recovered_at);
  return host.lost || (since.count() > 0 && context_.now() - since < context_.settings().slow_start.duration);
}

bool SlowStartBudget::admits(const Request& request, Host& host) {
  if (!is_cold(host))
    return true;
  const Settings& settings = context_.settings();
  const Millis since = std::max(host.entry.started, host.recovered_at);
  const double age = host.lost ? 0 : std::max(0.0, (context_.now() - since) / settings.slow_start.duration);
  const double share = settings.slow_start.initial + (1 - settings.slow_start.initial) * std::min(1.0, age);
  const double work = charged_work(request);
  // With many invokers, each gets only its share of the cores of a warm host.
  const double rate = host.entry.weight * (context_.many_invokers() ? context_.own_share() : served_rate());
  const double pace = kSlowStartSafety * settings.slow_start.factor * share * rate;
  fill(host, work, pace);
  // If a miss has used up the tokens, a host in slow start would stay empty: a proven instance there may be
  // used ahead of the tokens. Not before this invoker's first call there: loads that end together would cause
  // one call from each invoker at once.
  const bool may_overdraw = context_.many_invokers() && host.received_calls;
  const InstanceSet* set = may_overdraw ? request.function->find_instances(hosts_.index_of(host)) : nullptr;
  return host.tokens >= (set != nullptr && set->proven ? 0 : work);
}

void SlowStartBudget::fill(Host& host, double work, double pace) {
  if (host.tokens_at == kNever) {
    host.tokens = work * context_.random_fraction();
    host.received_calls = false;
  }
  if (host.tokens_at > kNever)
    host.tokens += pace * (context_.now() - host.tokens_at).count();
  host.tokens_at = context_.now();
  const double burst = pace * context_.settings().slow_start.window.count() / kSlowStartBurstDivisor;
  host.tokens = std::min(host.tokens, std::max(work, burst));
}

void SlowStartBudget::charge(const Request& request, Host& host) {
  if (!is_cold(host))
    return;
  host.tokens -= charged_work(request);
  host.received_calls = true;
}

// Only warm hosts count: many hosts in slow start would raise their own rate.
void SlowStartBudget::record_served(const Request& request, const Host& host) {
  if (context_.many_invokers() || is_cold(host))
    return;
  const double decayed = served_ * context_.decay(served_at_, kServedRateTimeConstant);
  served_ = decayed + work(request) / std::max(host.entry.weight, warm_weight());
  served_at_ = context_.now();
}

double SlowStartBudget::warm_weight() const {
  double sum = 0;
  for (const auto& host : hosts_) {
    sum += outliers_.is_usable(host) && !is_cold(host) ? host.entry.weight : 0;
  }
  return sum;
}

// Work that a unit of warm weight serves for this invoker, in milliseconds per millisecond.
double SlowStartBudget::served_rate() const {
  const double decayed = served_ * context_.decay(served_at_, kServedRateTimeConstant);
  const double served = decayed / kServedRateTimeConstant.count();
  return served > 0 && warm_weight() > 0 ? served : context_.own_share();
}

// Slow-start limits count a call as the mean work of its class.
double SlowStartBudget::charged_work(const Request& request) const {
  const double baseline = classes_.record(request.class_index).baseline;
  return context_.many_invokers() && baseline > 0 ? baseline : work(request);
}

double SlowStartBudget::work(const Request& request) const {
  const double run_time = classes_.record(request.class_index).run_time.value;
  if (run_time > 0)
    return run_time;
  const double by_objective = classes_.objective(request.class_index) / kObjectiveToWork;
  return std::max({functions_.any_run_time(), by_objective, 1.0});
}

}  // namespace lotusyard::policy
