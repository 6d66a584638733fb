// Makes the decisions of one invoker, event by event.
#pragma once

#include <string>
#include <vector>

#include "lotusyard/policy/policy.h"
#include "policy/admission.h"
#include "policy/answer_recorder.h"
#include "policy/call_router.h"
#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_load.h"
#include "policy/host_selector.h"
#include "policy/host_table.h"
#include "policy/liveness.h"
#include "policy/load_estimator.h"
#include "policy/load_orders.h"
#include "policy/outlier_detector.h"
#include "policy/placement.h"
#include "policy/request_table.h"
#include "policy/retry_rules.h"
#include "policy/slow_start_budget.h"

namespace lotusyard::policy {

// Owns the components of the policy from one event::Start to the next or to event::Stop. It does no I/O and
// has no clock: times come with the events. The timer with token 0 triggers a sweep every kSweepInterval; the
// timer of a request has its serial as token.
class Scheduler {
 public:
  Scheduler(Millis now, HostFilter* host_filter) : context_(now, host_filter) {}
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  void set_host_filter(HostFilter* host_filter) { context_.set_host_filter(host_filter); }
  // Handles one event at time `now` and appends the resulting actions.
  void handle(Millis now, const Event& event, std::vector<Action>& actions);

  FunctionTableSize function_table_size() const { return functions_.size(); }

 private:
  void on(const event::Start& start);
  void on(const event::Stop&) {}  // Policy drops the scheduler
  void on(const event::SettingsChanged& change);
  void on(const event::EndpointListUpdate& list);
  void on(const event::Request& request);
  void on(const event::StreamBegan& began);
  void on(const event::AttemptEnded& answer);
  void on(const event::ClientDisconnected& disconnected);
  void on(const event::Timer& timer);
  void on(const event::Probed& probed);
  void on(const event::Loaded& loaded);
  void on(const event::PeerMessage&) {}  // invokers exchange no messages

  Request& add_request(const event::Request& request);
  void set_objective(Request& request, Millis time_left);
  Attempt* find_attempt(const event::AttemptEnded& answer);
  void sweep();

  Context context_;
  ClassTable classes_{context_};
  FunctionTable functions_{context_, classes_};
  RequestTable requests_;
  HostTable hosts_{context_, classes_, functions_};
  HostLoad host_load_{context_};
  OutlierDetector outliers_{context_, classes_, functions_};
  Liveness liveness_{context_, functions_, hosts_, outliers_};
  SlowStartBudget slow_start_{context_, classes_, functions_, hosts_, outliers_};
  RetryRules retry_rules_{context_, classes_, functions_, hosts_, host_load_};
  Admission admission_{context_, classes_, functions_, hosts_, host_load_, retry_rules_, requests_};
  Placement placement_{context_, functions_, hosts_};
  HostSelector selector_{context_,    functions_,   hosts_,     host_load_, outliers_,
                         slow_start_, retry_rules_, admission_, placement_};
  LoadEstimator load_estimator_{context_,  classes_,    functions_, hosts_,
                                outliers_, slow_start_, admission_, placement_};
  LoadOrders load_orders_{context_,  functions_,  hosts_,     host_load_,
                          outliers_, slow_start_, placement_, selector_};
  AnswerRecorder answer_recorder_{context_, functions_, host_load_, outliers_, liveness_, slow_start_};
  CallRouter router_{{context_, classes_, functions_, requests_, hosts_, outliers_, slow_start_, retry_rules_,
                      admission_, selector_, load_estimator_, load_orders_}};
  Millis list_retry_at_{kNever};  // when to request a list again after one that failed
};

}  // namespace lotusyard::policy
