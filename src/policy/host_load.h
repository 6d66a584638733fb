// How busy hosts are: stretch of run times, load reports, and limits on own calls.
#pragma once

#include <vector>

#include "policy/context.h"
#include "policy/records.h"

namespace lotusyard::policy {

// Estimates the load of hosts. State of one host is in its record; what is learnt over the fleet is here.
class HostLoad {
 public:
  explicit HostLoad(const Context& context) : context_(context) {}

  void apply_settings();

  // What a call takes on the host, in baselines: by its own answers while they are recent, else the fleet's.
  double stretch(const Host& host) const;
  // Notes the stretch of one answer and moves the host's limit by it.
  void record_stretch(Host& host, double stretch);
  // Notes a load report.
  void record_report(Host& host, const Report& report);
  // Notes that the host answered `full`.
  void record_full(Host& host, Millis pause);

  // Own calls per weight, by stretch: for comparing hosts.
  double busyness(const Host& host) const;
  // Calls that the host holds for all routers, by its reports and those of the fleet.
  double reported_calls(const Host& host) const;
  // True if own calls may go there by limit and by its `full` answers.
  bool has_capacity(const Host& host) const;

 private:
  double concurrency(const Host& host) const;
  void learn_concurrency(const Host& host, const std::vector<double>& report);
  void record_calls(Host& host, double calls, bool only_waiting);
  void adapt_limit(Host& host) const;

  const Context& context_;
  double fleet_stretch_ = 1;
  Millis fleet_stretch_at_{kNever};
  double mean_reported_calls_ = 0;
  // Moving averages of one gain, over all reports of cores that are not too busy: calls, and weight in use.
  double sampled_calls_ = 0;
  double sampled_busy_ = 0;
  bool reports_queue_ = false;  // reports tell how many calls wait
};

}  // namespace lotusyard::policy
