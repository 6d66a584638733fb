// The E test of the ESFF algorithm: whether a function benefits from another instance, and which most.
#pragma once

#include "policy/admission.h"
#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_table.h"
#include "policy/outlier_detector.h"
#include "policy/placement.h"
#include "policy/records.h"
#include "policy/slow_start_budget.h"

namespace lotusyard::policy {

// With N + 1 requests queued, K lanes, load time L and run time R, a load pays if E = N + 1 - L * K / R is
// above 0 (equations 6 and 7 of the ESFF paper; V is 0, as hosts unload by themselves).
class LoadEstimator {
 public:
  LoadEstimator(const Context& context, const ClassTable& classes, const FunctionTable& functions,
                HostTable& hosts, const OutlierDetector& outliers, SlowStartBudget& slow_start,
                const Admission& admission, const Placement& placement)
      : context_(context),
        classes_(classes),
        functions_(functions),
        hosts_(hosts),
        outliers_(outliers),
        slow_start_(slow_start),
        admission_(admission),
        placement_(placement) {}

  // True if requests will probably still be queued once a load ends. The queue must not be empty.
  bool gains_from_load(Function& function);
  // The function's weight in milliseconds (equation 10): the lowest is loaded first. Same precondition.
  double load_weight(Function& function);

 private:
  int usable_lanes(Function& function);
  double queued_after_load(const Function& function, int lanes) const;

  const Context& context_;
  const ClassTable& classes_;
  const FunctionTable& functions_;
  HostTable& hosts_;
  const OutlierDetector& outliers_;
  SlowStartBudget& slow_start_;
  const Admission& admission_;
  const Placement& placement_;
};

}  // namespace lotusyard::policy
