#include "policy/call_router.h"

#include <algorithm>
#include <map>

namespace lotusyard::policy {

void CallRouter::send_waiting(Function& function) {
  while (Request* request = parts_.admission.next_to_serve(function)) {
    InstanceSet* instances = parts_.selector.select(function, *request);
    if (instances == nullptr)
      return;
    send(*request, *instances);
  }
}

void CallRouter::serve(Function& function) {
  send_waiting(function);
  if (function.queue.empty() || !parts_.load_estimator.gains_from_load(function))
    return;
  const int host = parts_.selector.select_for_load(function);
  if (host >= 0)
    start_load(function, host);
}

void CallRouter::serve_all() {
  std::multimap<double, Function*> waiting;
  for (const auto& function : parts_.functions.all()) {
    if (function->queue.empty())
      continue;
    const double weight = parts_.load_estimator.load_weight(*function);
    waiting.emplace(weight / parts_.classes.priority_weight(function->class_index), function.get());
  }
  for (auto& [weight, function] : waiting) {
    serve(*function);
  }
}

// Starts a load by an order, or by a call that misses: where misses are answered, the first call is sent
// without an order.
void CallRouter::start_load(Function& function, int host_index) {
  Host& host = parts_.hosts.at(host_index);
  InstanceSet& instances = function.instances_on(host_index);
  if (instances.loading > 0)
    return;
  Request& request = *parts_.admission.next_to_serve(function);
  const Settings& settings = parts_.context.settings();
  const bool no_order = !settings.load_orders.allowed || !parts_.load_orders.is_allowed();
  const bool by_call = settings.host_protocol.answers_misses
                           ? request.attempts.empty() && !function.last_missed
                           : parts_.context.many_invokers() || no_order;
  if (by_call) {
    if (!parts_.selector.may_send(request, host))
      return;
    instances.warm = 1;
    send(request, instances);
    return send_waiting(function);
  }
  if (no_order || parts_.context.now() < function.no_order_before)
    return;
  parts_.load_orders.send(function, host, instances);
}

void CallRouter::on_lane_free(Function& function, int host) {
  if (!parts_.selector.may_load(parts_.hosts.at(host)))
    return serve(function);
  Function* best = nullptr;
  double least = parts_.functions.run_time(function);
  for (const auto& other : parts_.functions.all()) {
    if (other.get() == &function || other->queue.empty())
      continue;
    const double weight = parts_.load_estimator.load_weight(*other);
    if (weight >= least)
      continue;
    best = other.get();
    least = weight;
  }
  if (best != nullptr)
    start_load(*best, host);
  serve(function);
}

void CallRouter::send(Request& request, InstanceSet& instances) {
  Host& host = parts_.hosts.host_of(instances);
  const Millis now = parts_.context.now();
  RequestTable::dequeue(request);
  parts_.context.emit(action::Send{request.id, host.entry.host, request.deadline - now});
  request.attempts.push_back({instances.host, now, AttemptState::in_flight});
  if (host.in_flight++ == 0)
    host.active_at = now;
  ++instances.in_flight;
  instances.used_at = now;
  parts_.slow_start.charge(request, host);
}

void CallRouter::retry_or_reject(Request& request) {
  if (!parts_.retry_rules.may_retry(request) || !parts_.admission.should_queue(request)) {
    return parts_.admission.reject(request);
  }
  RequestTable::enqueue_front(request);
}

void CallRouter::check_overdue() {
  for (auto& [serial, request] : parts_.requests) {
    const bool waits_for_answer = !request.done && !request.streaming && request.in_flight() > 0;
    if (waits_for_answer)
      check_overdue(request);
  }
}

void CallRouter::check_overdue(Request& request) {
  auto& attempts = request.attempts;
  const auto first = std::find_if(attempts.begin(), attempts.end(), is_in_flight);
  if (!parts_.retry_rules.is_overdue(request, *first))
    return;
  Host& host = parts_.hosts.at(first->host);
  if (parts_.outliers.is_silent(host))
    parts_.outliers.eject(host);
  if (first->overdue)
    return;
  first->overdue = true;
  parts_.outliers.record_failure(host, request.class_index, false);
  const bool host_works =
      parts_.outliers.is_usable(host) && parts_.outliers.serves(host, request.class_index);
  if (host_works || !parts_.retry_rules.may_repeat_anywhere(request))
    return;
  hedge_or_cancel(request, static_cast<std::size_t>(first - attempts.begin()));
}

// A hedged request is preferred: the first attempt may still succeed.
void CallRouter::hedge_or_cancel(Request& request, std::size_t attempt) {
  const Settings& settings = parts_.context.settings();
  InstanceSet* second = nullptr;
  if (settings.retries.hedged_requests)
    second = parts_.selector.select_warm(*request.function, request);
  if (second != nullptr) {
    send(request, *second);
  } else if (settings.host_protocol.cancels) {
    parts_.context.emit(action::Cancel{request.id, static_cast<int>(attempt)});
  }
}

}  // namespace lotusyard::policy
