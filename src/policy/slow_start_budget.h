// Slow start: limits the work sent to a host that started recently.
#pragma once

#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_table.h"
#include "policy/outlier_detector.h"
#include "policy/records.h"

namespace lotusyard::policy {

// A token bucket for each host in slow start, in milliseconds of work. It fills at the configured multiple of
// a growing fraction of the rate at which a warm host serves this invoker. With many invokers that is less
// than one call per window, so tokens are saved up from a random level: invokers take turns without
// coordination. Attempts are charged when sent, whatever their answers: a miss also costs the host work.
class SlowStartBudget {
 public:
  SlowStartBudget(Context& context, const ClassTable& classes, const FunctionTable& functions,
                  const HostTable& hosts, const OutlierDetector& outliers)
      : context_(context), classes_(classes), functions_(functions), hosts_(hosts), outliers_(outliers) {}

  // True if the host is in slow start, or lost. The endpoint list is seconds late: a lost host is in slow
  // start from its next answer, whatever the list says.
  bool is_cold(const Host& host) const;
  // Fills the host's bucket and returns whether it has tokens for the request. Always true for warm hosts.
  bool admits(const Request& request, Host& host);
  // Charges a request that is sent to the host.
  void charge(const Request& request, Host& host);
  // Records an answer: the work that warm hosts serve determines the fill rate of the buckets.
  void record_served(const Request& request, const Host& host);

 private:
  double warm_weight() const;
  double served_rate() const;
  double charged_work(const Request& request) const;
  double work(const Request& request) const;
  void fill(Host& host, double work, double pace);

  Context& context_;
  const ClassTable& classes_;
  const FunctionTable& functions_;
  const HostTable& hosts_;
  const OutlierDetector& outliers_;
  double served_ = 0;  // work that a unit of warm weight served for this invoker, decaying
  Millis served_at_{kNever};
};

}  // namespace lotusyard::policy
