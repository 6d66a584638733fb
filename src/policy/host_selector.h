// Selects the host for a request, and the host for the next load of a function.
#pragma once

#include "policy/admission.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_load.h"
#include "policy/host_table.h"
#include "policy/outlier_detector.h"
#include "policy/placement.h"
#include "policy/records.h"
#include "policy/retry_rules.h"
#include "policy/slow_start_budget.h"

namespace lotusyard::policy {

// Combines the rules on hosts: a host is selected only if all of them allow it.
class HostSelector {
 public:
  HostSelector(const Context& context, FunctionTable& functions, HostTable& hosts, const HostLoad& host_load,
               const OutlierDetector& outliers, SlowStartBudget& slow_start, const RetryRules& retry_rules,
               const Admission& admission, const Placement& placement)
      : context_(context),
        functions_(functions),
        hosts_(hosts),
        host_load_(host_load),
        outliers_(outliers),
        slow_start_(slow_start),
        retry_rules_(retry_rules),
        admission_(admission),
        placement_(placement) {}

  // True if all rules except those on load allow the request on the host now.
  bool may_send(const Request& request, Host& host);
  // True if a load may start on the host now.
  bool may_load(const Host& host) const;

  // The instances for a waiting request, or null.
  InstanceSet* select(Function& function, const Request& request);
  // The least busy host with a free lane of a warm instance, or null.
  InstanceSet* select_warm(Function& function, const Request& request);
  // The first host that may load and has no instance yet, or -1. The function's queue must not be empty.
  int select_for_load(Function& function);

 private:
  InstanceSet* select_least_loaded(Function& function, const Request& request);
  bool has_lane(Function& function, const Request& request, std::size_t position);
  double cost(Function& function, const Request& request, std::size_t position) const;
  bool may_load_for(Function& function, const Request& request, Host& host);

  const Context& context_;
  FunctionTable& functions_;
  HostTable& hosts_;
  const HostLoad& host_load_;
  const OutlierDetector& outliers_;
  SlowStartBudget& slow_start_;
  const RetryRules& retry_rules_;
  const Admission& admission_;
  const Placement& placement_;
};

}  // namespace lotusyard::policy
