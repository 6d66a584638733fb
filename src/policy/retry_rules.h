// Decides which requests may be retried, and when an attempt counts as unanswered.
#pragma once

#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_load.h"
#include "policy/host_table.h"
#include "policy/records.h"

namespace lotusyard::policy {

// A request that may have run is sent again only if its class is idempotent, or keyed and the next host drops
// repeated keys of the earlier attempts' hosts, within the key's window.
class RetryRules {
 public:
  RetryRules(const Context& context, const ClassTable& classes, const FunctionTable& functions,
             const HostTable& hosts, const HostLoad& host_load)
      : context_(context), classes_(classes), functions_(functions), hosts_(hosts), host_load_(host_load) {}

  // True if the earlier attempts allow the request to be sent to this host.
  bool may_repeat_on(const Request& request, const Host& to) const { return may_repeat(request, &to); }
  // True if the earlier attempts allow the request to be sent to any host, or rejected as never having run.
  bool may_repeat_anywhere(const Request& request) const { return may_repeat(request, nullptr); }
  // True if the request has attempts left and may be sent to some host.
  bool may_retry(const Request& request) const;
  // True if another attempt may be sent: the only one in flight, or a hedged request where settings allow it.
  bool may_attempt(const Request& request) const;
  // True if the attempt has been in flight for so long that its answer is no longer expected.
  bool is_overdue(const Request& request, const Attempt& attempt) const;

 private:
  bool may_repeat(const Request& request, const Host* to) const;
  bool may_follow(const Attempt& attempt, const ClassSettings* settings, const Host* to) const;

  const Context& context_;
  const ClassTable& classes_;
  const FunctionTable& functions_;
  const HostTable& hosts_;
  const HostLoad& host_load_;
};

}  // namespace lotusyard::policy
