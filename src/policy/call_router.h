// Sends queued requests to hosts, loads instances for them, retries and hedges.
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

// The components that a CallRouter uses; all must outlive it.
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

  // Sends what may be sent now, then loads an instance if the remaining queue benefits from it.
  void serve(Function& function);
  // Serves all functions, in ascending order of load weight over priority weight.
  void serve_all();
  // Handles a free lane of the function on the host: a function with a load weight below this one's (equation
  // 9 of ESFF; with V = 0, its run time) may load there, then the function itself is served.
  void on_lane_free(Function& function, int host);
  // Queues a request whose attempts have ended for a retry, or rejects it.
  void retry_or_reject(Request& request);
  // Checks attempts in flight for time-outs: a stalled host would otherwise hold calls until their deadlines.
  // An overdue attempt counts as a failure, and is hedged or cancelled if the request may run again.
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
