// Sends waiting requests to hosts, loads instances for them, retries and hedges.
#pragma once

#include "policy/admission.h"
#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_load.h"
#include "policy/host_selector.h"
#include "policy/host_table.h"
#include "policy/load_estimator.h"
#include "policy/load_orders.h"
#include "policy/outlier_detector.h"
#include "policy/records.h"
#include "policy/request_table.h"
#include "policy/retry_rules.h"
#include "policy/slow_start_budget.h"

namespace lotusyard::policy {

// The parts that a CallRouter works with; all outlive it.
struct RouterParts {
  Context& context;
  const ClassTable& classes;
  FunctionTable& functions;
  RequestTable& requests;
  HostTable& hosts;
  OutlierDetector& outliers;
  SlowStartBudget& slow_start;
  const RetryRules& retry_rules;
  Admission& admission;
  HostSelector& selector;
  LoadEstimator& load_estimator;
  LoadOrders& load_orders;
};

// Moves requests from their queues to hosts.
class CallRouter {
 public:
  explicit CallRouter(const RouterParts& parts) : parts_(parts) {}

  // Sends what may go now, then loads an instance if the rest gains from it.
  void serve(Function& function);
  // The same for all functions, those that are worth most first.
  void serve_all();
  // A lane of the function on the host has become free. A function with a lower weight may load there
  // (equation 9; with V = 0 it is the run time), then the function itself is served.
  void on_lane_free(Function& function, int host);
  // Queues a request whose attempts have ended for a retry, or rejects it.
  void retry_or_reject(Request& request);
  // Looks for attempts in flight that count as unanswered: a silent host answers nothing until the deadline.
  // Such an attempt counts as a failure, and is hedged or cancelled where the request may run again.
  void check_overdue();

 private:
  void send_waiting(Function& function);
  void start_load(Function& function, int host_index);
  void send(Request& request, InstanceSet& instances);
  void check_overdue(Request& request);
  void hedge_or_cancel(Request& request, std::size_t attempt);

  RouterParts parts_;
};

}  // namespace lotusyard::policy
