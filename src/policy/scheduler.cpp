#include "policy/scheduler.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lotusyard::policy {

void Scheduler::handle(Millis now, const Event& event, std::vector<Action>& actions) {
  context_.begin_event(now, actions);
  std::visit([this](const auto& typed) { on(typed); }, event);
}

void Scheduler::on(const event::Start& start) {
  context_.seed(start.settings.seed);
  on(event::SettingsChanged{start.settings});
  if (start.settings.endpoint_list.polled)
    context_.emit(action::Watch{true});
  context_.emit(action::SetTimer{kSweepInterval, 0});
}

// Open requests keep the settings that they arrived under: a class that changes gets a new index.
void Scheduler::on(const event::SettingsChanged& change) {
  std::vector<bool> in_use(std::max<std::size_t>(classes_.slots(), 1));
  for (const auto& [serial, request] : requests_) {
    in_use[ClassTable::slot(request.class_index)] = true;
  }
  context_.apply_settings(change.settings);
  hosts_.apply_classes(classes_.apply_settings(change.settings.classes, std::move(in_use)));
  host_load_.apply_settings();
}

void Scheduler::on(const event::EndpointListUpdate& list) {
  if (list.kind == ListKind::failed) {
    list_retry_at_ = context_.now() + kListRetryPause;
    return;
  }
  hosts_.apply(list);
  router_.serve_all();
}

void Scheduler::on(const event::Request& event) {
  if (requests_.contains(event.id))
    return;
  load_orders_.record_request();
  Request& request = add_request(event);
  const Millis last_chance = request.deadline - context_.settings().tick;
  if (context_.now() >= last_chance || admission_.is_excluded_everywhere(request)) {
    return admission_.reject(request);
  }
  context_.emit(action::SetTimer{last_chance - context_.now(), request.serial});
  RequestTable::enqueue_back(request);
  Function& function = *request.function;
  router_.serve(function);
  load_orders_.warm_up_returned_host(function);
}

Request& Scheduler::add_request(const event::Request& event) {
  Request& request = requests_.add(event.id);
  request.class_index = classes_.find(event.class_name);
  request.max_attempts = context_.settings().retries.max_attempts;
  request.function = &functions_.record_arrival(event, request.class_index);
  ++request.function->open_requests;
  request.tenant = event.tenant;
  request.deadline = context_.now() + event.expires_in;
  set_objective(request, event.expires_in);
  return request;
}

// A client's own retry looks like a new call, although its objective may have passed; it is recognised by an
// unusual time-out.
void Scheduler::set_objective(Request& request, Millis time_left) {
  const ClassSettings* settings = classes_.settings(request.class_index);
  request.objective_at = request.deadline;
  if (settings != nullptr && settings->latency_objective.count() > 0) {
    request.objective_at = std::min(request.deadline, context_.now() + settings->latency_objective);
  }
  const bool is_client_retry = classes_.record_time_left(request.class_index, time_left);
  if (settings == nullptr || !is_client_retry)
    return;
  const Millis first_try_objective_at = request.deadline - settings->deadline + settings->latency_objective;
  request.objective_at = std::min(request.objective_at, first_try_objective_at);
}

void Scheduler::on(const event::StreamBegan& began) {
  if (Request* request = requests_.find(began.id))
    request->streaming = true;
}

void Scheduler::on(const event::AttemptEnded& answer) {
  Attempt* attempt = find_attempt(answer);
  if (attempt == nullptr)
    return;
  attempt->state = proves_never_ran(answer.outcome) ? AttemptState::never_ran : AttemptState::may_have_run;
  Request& request = *requests_.find(answer.id);
  Function& function = *request.function;
  const int index = attempt->host;
  Host& host = hosts_.at(index);
  InstanceSet& instances = function.instances_on(index);
  host.in_flight = std::max(0, host.in_flight - 1);
  instances.in_flight = std::max(0, instances.in_flight - 1);
  answer_recorder_.record(answer, request, host, instances);
  if (answer.outcome == Outcome::no_instance)
    load_orders_.spread(function, host, instances);
  if (answer.call_ended || request.done) {
    admission_.finish(request);
  } else if (request.in_flight() == 0 && !request.streaming) {
    router_.retry_or_reject(request);
  }
  router_.on_lane_free(function, index);
}

Attempt* Scheduler::find_attempt(const event::AttemptEnded& answer) {
  Request* request = requests_.find(answer.id);
  if (request == nullptr || answer.attempt < 0)
    return nullptr;
  const auto number = static_cast<std::size_t>(answer.attempt);
  if (number >= request->attempts.size() || !is_in_flight(request->attempts[number]))
    return nullptr;
  return &request->attempts[number];
}

// Without a cancel, clients that disconnect and retry leave hosts busy with calls that nobody waits for.
void Scheduler::on(const event::ClientDisconnected& disconnected) {
  Request* request = requests_.find(disconnected.id);
  if (request == nullptr)
    return;
  const bool cancels = context_.settings().host_protocol.cancels && !request->streaming;
  for (std::size_t i = 0; cancels && i < request->attempts.size(); ++i) {
    if (!is_in_flight(request->attempts[i]))
      continue;
    context_.emit(action::Cancel{disconnected.id, static_cast<int>(i)});
  }
  admission_.finish(*request);
}

void Scheduler::on(const event::Timer& timer) {
  if (timer.token == 0)
    return sweep();
  Request* request = requests_.find(timer.token);
  if (request == nullptr || request->done || request->streaming)
    return;
  const bool is_due = context_.now() + 2 * context_.settings().tick >= request->deadline;
  if (is_due)
    admission_.reject(*request);
}

void Scheduler::on(const event::Probed& probed) {
  Host* host = hosts_.find(probed.host);
  if (host == nullptr)
    return;
  if (probed.outcome == Outcome::ok)
    host_load_.record_report(*host, probed.report);
  liveness_.record_probe(*host, probed.outcome);
}

void Scheduler::on(const event::Loaded& loaded) {
  Function* function = functions_.find(loaded.function);
  Host* host = hosts_.find(loaded.host);
  if (function == nullptr || host == nullptr)
    return;
  InstanceSet& instances = function->instances_on(hosts_.index_of(*host));
  if (Liveness::awaits_order_probe(*host, loaded.function) && instances.loading == 0) {
    if (loaded.outcome == Outcome::ok)
      instances.warm = std::min(std::max(loaded.copies, 0), kMaxInstances);
    const bool is_alive = loaded.outcome == Outcome::at_capacity || loaded.outcome == Outcome::error;
    return liveness_.record_probe(*host, is_alive ? Outcome::ok : loaded.outcome);
  }
  answer_recorder_.record(loaded, *function, *host, instances);
  router_.serve_all();  // the free load slot goes to the function with the best load weight
}

void Scheduler::sweep() {
  context_.emit(action::SetTimer{kSweepInterval, 0});
  const bool retry_is_due = list_retry_at_ > kNever && context_.now() >= list_retry_at_;
  if (context_.settings().endpoint_list.polled && retry_is_due) {
    list_retry_at_ = kNever;
    context_.emit(action::Watch{true});
  }
  for (const auto& function : functions_.all()) {
    placement_.expire_instances(*function);
  }
  router_.check_overdue();
  router_.serve_all();
  for (const auto& function : functions_.all()) {
    admission_.shed(*function);
  }
  hosts_.prune();
  functions_.prune();
}

}  // namespace lotusyard::policy
