// Which requests may be sent again (rule 2), and when an attempt counts as unanswered.
#pragma once

#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_load.h"
#include "policy/host_table.h"
#include "policy/records.h"

namespace lotusyard::policy {

// A request that may have run goes out again only if its class is idempotent, or keyed and `to` drops
// repeated keys of the first attempt's host, within the key's window.
class RetryRules {
 public:
  RetryRules(const Context& context, const ClassTable& classes, const FunctionTable& functions,
             const HostTable& hosts, const HostLoad& host_load)
      : context_(context), classes_(classes), functions_(functions), hosts_(hosts), host_load_(host_load) {}

  // True if the request may go to this host, whatever its earlier attempts did.
  bool may_repeat_on(const Request& request, const Host& to) const { return may_repeat(request, &to); }
  // True if the request may go anywhere, or be refused as never having run.
  bool may_repeat_anywhere(const Request& request) const { return may_repeat(request, nullptr); }
  // True if the request has attempts left and some host that it may go to.
  bool may_retry(const Request& request) const;
  // True if one more attempt may be in flight: the first, or a hedged request where settings allow one.
  bool may_attempt(const Request& request) const;
  // True if the attempt is in flight for so long that its answer is not expected any more.
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
