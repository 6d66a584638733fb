// Slow start (rule 4): how much work a host that started lately gets.
#pragma once

#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_table.h"
#include "policy/outlier_detector.h"
#include "policy/records.h"

namespace lotusyard::policy {

// A token bucket for each host in slow start, in milliseconds of work. It fills at the stated multiple of the
// host's present share of what this router gets served by a warm one. With many routers that is less than a
// call in a window: it is saved up, from a random level, so that the routers take turns without talking.
// What is sent is charged, answers do not count: misses cost the host as well.
class SlowStartBudget {
 public:
  SlowStartBudget(Context& context, const ClassTable& classes, const FunctionTable& functions,
                  const HostTable& hosts, const OutlierDetector& outliers)
      : context_(context), classes_(classes), functions_(functions), hosts_(hosts), outliers_(outliers) {}

  // True if the host is in slow start, or lost. The endpoint list is seconds late: a host that was seen to
  // die is in slow start from its first answer, whatever the list says.
  bool is_cold(const Host& host) const;
  // Fills the host's bucket and tells whether it has tokens for the request. Always true for warm hosts.
  bool admits(const Request& request, Host& host);
  // Charges a request that is sent to the host.
  void charge(const Request& request, Host& host);
  // Notes an answer: what warm hosts serve sets the rate of the buckets.
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
  double served_ = 0;  // work that a unit of warm weight served for us, decaying
  Millis served_at_{kNever};
};

}  // namespace lotusyard::policy
