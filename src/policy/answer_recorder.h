// Records what answers show: run and load times, load and health of hosts, locations of instances.
#pragma once

#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_load.h"
#include "policy/liveness.h"
#include "policy/outlier_detector.h"
#include "policy/records.h"
#include "policy/slow_start_budget.h"

namespace lotusyard::policy {

// Updates all tables from the answers of hosts.
class AnswerRecorder {
 public:
  AnswerRecorder(Context& context, FunctionTable& functions, HostLoad& host_load, OutlierDetector& outliers,
                 Liveness& liveness, SlowStartBudget& slow_start)
      : context_(context),
        functions_(functions),
        host_load_(host_load),
        outliers_(outliers),
        liveness_(liveness),
        slow_start_(slow_start) {}

  // Records the answer to an attempt. `instances` are those of the request's function on the host.
  void record(const event::AttemptEnded& answer, const Request& request, Host& host, InstanceSet& instances);
  // Records the answer to a load order.
  void record(const event::Loaded& answer, Function& function, Host& host, InstanceSet& instances);

 private:
  void record_ok(const event::AttemptEnded& answer, const Request& request, Host& host,
                 InstanceSet& instances);
  void record_run(const event::AttemptEnded& answer, const Request& request, Host& host);
  void record_miss(Function& function, InstanceSet& instances) const;
  void record_full(Host& host);
  void record_failure(const event::AttemptEnded& answer, const Request& request, Host& host);
  void record_order_end(const event::Loaded& answer, Function& function, InstanceSet& instances);

  Context& context_;
  FunctionTable& functions_;
  HostLoad& host_load_;
  OutlierDetector& outliers_;
  Liveness& liveness_;
  SlowStartBudget& slow_start_;
};

}  // namespace lotusyard::policy
