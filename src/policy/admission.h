// Which requests are worth holding and sending; which are shed; the end of requests.
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

// Sheds load early and by worth: held past their objectives, calls would take the lanes of calls that could
// meet theirs, and all would be late.
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

  // True if an answer at once would meet the latency objective.
  bool can_meet_objective(const Request& request) const;
  // True if the request can meet its objective, or a late answer is worth enough.
  bool is_worth_holding(const Request& request) const;
  // True if the wait that the host's load means is worth it. Without this test an overloaded fleet would
  // serve all calls, all late. The wait that a call accepts falls with its worth; one past its objective goes
  // only where nothing waits.
  bool is_worth_sending(const Request& request, const Host& host) const;
  // True if the host_filter lets the request go to no host.
  bool is_excluded_everywhere(const Request& request) const;
  // The first waiting request that can meet its objective, else the first; null if none waits.
  Request* next_to_serve(const Function& function) const;

  // Ends waiting requests that are not worth holding, but for those that a load of ours is on the way for.
  void shed(Function& function);
  // Gives the final answer that is ours to give: refused with Retry-After if it never ran, else failed.
  void reject(Request& request);
  // Ends a request. It is erased once no attempt is in flight.
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
