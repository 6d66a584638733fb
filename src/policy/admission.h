// Decides which requests are queued, sent, shed and rejected, and finishes requests.
#pragma once

#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_load.h"
#include "policy/host_table.h"
#include "policy/records.h"
#include "policy/request_table.h"
#include "policy/retry_rules.h"

namespace lotusyard::policy {

// Sheds load early and by priority weight: calls queued past their objectives would take the lanes of calls
// that could still meet theirs, and all would be late.
class Admission {
 public:
  Admission(Context& context, const ClassTable& classes, const FunctionTable& functions,
            const HostTable& hosts, const HostLoad& host_load, const RetryRules& retry_rules,
            RequestTable& requests)
      : context_(context),
        classes_(classes),
        functions_(functions),
        hosts_(hosts),
        host_load_(host_load),
        retry_rules_(retry_rules),
        requests_(requests) {}

  // True if the request would meet its latency objective if it were sent now.
  bool can_meet_objective(const Request& request) const;
  // True if the request can meet its objective, or a late answer keeps enough of its weight.
  bool should_queue(const Request& request) const;
  // True if the wait expected from the host's load is acceptable. Without this test an overloaded fleet would
  // serve all calls late. The longest wait of a call grows with its priority weight; a request that should
  // not queue goes only to hosts without a wait.
  bool is_wait_acceptable(const Request& request, const Host& host) const;
  // True if the host filter allows no host for the request.
  bool is_excluded_everywhere(const Request& request) const;
  // The first waiting request that can meet its objective, else the first; null if none waits.
  Request* next_to_serve(const Function& function) const;

  // Rejects queued requests that should not queue, unless an instance is being loaded for them.
  void shed(Function& function);
  // Answers a request that no host answered: rejected with Retry-After if it may be sent again, else failed.
  void reject(Request& request);
  // Finishes a request. It is erased once no attempt is in flight.
  void finish(Request& request);

 private:
  Millis retry_after(const Request& request);

  Context& context_;
  const ClassTable& classes_;
  const FunctionTable& functions_;
  const HostTable& hosts_;
  const HostLoad& host_load_;
  const RetryRules& retry_rules_;
  RequestTable& requests_;
};

}  // namespace lotusyard::policy
