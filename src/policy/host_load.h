// The load of hosts: stretch of run times, load reports, and limits on this invoker's calls.
#pragma once

#include <vector>

#include "policy/context.h"
#include "policy/records.h"

namespace lotusyard::policy {

// Estimates the load of hosts. The state of each host is in its record; estimates over the fleet are here.
class HostLoad {
 public:
  explicit HostLoad(const Context& context) : context_(context) {}

  void apply_settings();

  // Run time on the host in multiples of the baseline: by its own answers while recent, else the fleet's.
  double stretch(const Host& host) const;
  // Records the stretch of one answer and adapts the host's limit to it.
  void record_stretch(Host& host, double stretch);
  // Records a load report.
  void record_report(Host& host, const Report& report);
  // Records that the host answered `full`; it gets no calls for `pause`.
  void record_full(Host& host, Millis pause);

  // This invoker's calls per unit of host weight, scaled by the stretch: for comparing hosts.
  double busyness(const Host& host) const;
  // Estimated calls of all invokers on the host, from its reports and those of the fleet.
  double reported_calls(const Host& host) const;
  // True if the limit on this invoker's calls and the host's `full` answers allow another call.
  bool has_capacity(const Host& host) const;

 private:
  double concurrency(const Host& host) const;
  void sample_concurrency(const Host& host, const std::vector<double>& report);
  void record_calls(Host& host, double calls, bool only_waiting);
  void adapt_limit(Host& host) const;

  const Context& context_;
  double fleet_stretch_ = 1;
  Millis fleet_stretch_at_{kNever};
  double mean_reported_calls_ = 0;
  // Moving averages over all reports of hosts that are not too busy: calls, and weight in use.
  double sampled_calls_ = 0;
  double sampled_used_weight_ = 0;
  bool reports_queue_ = false;  // reports include the number of queued calls
};

}  // namespace lotusyard::policy
