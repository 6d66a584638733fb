// Sends orders to load an instance, and decides when to load ahead of demand.
#pragma once

#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_load.h"
#include "policy/host_selector.h"
#include "policy/host_table.h"
#include "policy/load_budget.h"
#include "policy/outlier_detector.h"
#include "policy/placement.h"
#include "policy/records.h"
#include "policy/slow_start_budget.h"

namespace lotusyard::policy {

// Sends load orders within the LoadBudget. Callers check HostSelector::may_load.
class LoadOrders {
 public:
  LoadOrders(Context& context, FunctionTable& functions, HostTable& hosts, const HostLoad& host_load,
             const OutlierDetector& outliers, const SlowStartBudget& slow_start, const Placement& placement,
             const HostSelector& selector)
      : context_(context),
        functions_(functions),
        hosts_(hosts),
        host_load_(host_load),
        outliers_(outliers),
        slow_start_(slow_start),
        placement_(placement),
        selector_(selector),
        budget_(context) {}

  // Records a request, which adds to the budget.
  void record_request() { budget_.record_request(); }
  // True if the budget allows an order now.
  bool is_allowed() { return budget_.admits_order(); }
  // Orders one instance more than those that are warm.
  void send(const Function& function, const Host& host, InstanceSet& instances);
  // Orders an instance of a function without a queue on a host that operators returned to service: with all
  // functions warm elsewhere it would stay idle. With many invokers, calls reach it anyway.
  void warm_up_returned_host(Function& function);
  // Orders an instance for later calls on this host, which had none, if the function's calls overlap and its
  // first host is overloaded.
  void spread(Function& function, const Host& host, InstanceSet& instances);

 private:
  Context& context_;
  FunctionTable& functions_;
  HostTable& hosts_;
  const HostLoad& host_load_;
  const OutlierDetector& outliers_;
  const SlowStartBudget& slow_start_;
  const Placement& placement_;
  const HostSelector& selector_;
  LoadBudget budget_;
};

}  // namespace lotusyard::policy
