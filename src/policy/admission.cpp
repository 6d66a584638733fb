#include "policy/admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lotusyard::policy {

bool Admission::can_meet_objective(const Request& request) const {
  return context_.now() + Millis(functions_.baseline(*request.function)) <= request.objective_at;
}

bool Admission::should_queue(const Request& request) const {
  if (can_meet_objective(request))
    return true;
  const ClassSettings* settings = classes_.settings(request.class_index);
  return settings != nullptr && settings->late_weight >= kMinLateWeight;
}

bool Admission::is_wait_acceptable(const Request& request, const Host& host) const {
  const double run_time = functions_.baseline(*request.function);
  const double wait = run_time * std::max(0.0, host_load_.stretch(host) - kNormalStretch);
  if (wait <= 0)
    return true;
  if (!should_queue(request))
    return false;
  const double best = classes_.max_priority_weight();
  const Millis until = can_meet_objective(request) ? request.objective_at : request.deadline;
  if (wait + run_time > (until - context_.now()).count())
    return false;
  return wait <= classes_.longest_wait() * std::sqrt(classes_.priority_weight(request.class_index) / best);
}

bool Admission::is_excluded_everywhere(const Request& request) const {
  for (const auto& host : hosts_) {
    if (context_.is_eligible(request.tenant, *request.function, host))
      return false;
  }
  return context_.has_host_filter() && !hosts_.empty();
}

Request* Admission::next_to_serve(const Function& function) const {
  for (const auto serial : function.queue) {
    Request& request = requests_.at(serial);
    if (can_meet_objective(request))
      return &request;
  }
  return function.queue.empty() ? nullptr : &requests_.at(function.queue.front());
}

void Admission::shed(Function& function) {
  const bool loading = std::any_of(function.instances.begin(), function.instances.end(),
                                   [](const InstanceSet& instances) { return instances.loading > 0; });
  for (const auto serial : std::vector<std::uint64_t>(function.queue.begin(), function.queue.end())) {
    Request& request = requests_.at(serial);
    const bool too_late = context_.now() + Millis(functions_.baseline(function)) > request.deadline;
    const bool keeps_waiting = loading || should_queue(request);
    if (too_late || !keeps_waiting || is_excluded_everywhere(request))
      reject(request);
  }
}

void Admission::reject(Request& request) {
  if (retry_rules_.may_repeat_anywhere(request)) {
    context_.emit(action::Reject{request.id, retry_after(request)});
  } else {
    context_.emit(action::Fail{request.id});
  }
  finish(request);
}

void Admission::finish(Request& request) {
  RequestTable::dequeue(request);
  request.done = true;
  if (request.in_flight() == 0)
    requests_.erase(request);
}

// Early enough for the objective, and random so that rejected clients do not return together.
Millis Admission::retry_after(const Request& request) {
  const Settings& settings = context_.settings();
  if (!settings.rejections.sends_retry_after)
    return Millis(0);
  const Millis left = (request.objective_at - context_.now()) / 2;
  if (left.count() <= 0)
    return settings.rejections.max_retry_after;
  return std::min(left * (kMinJitter + context_.random_fraction()), settings.rejections.max_retry_after);
}

}  // namespace lotusyard::policy
