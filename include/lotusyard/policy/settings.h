// The settings of the decision module. `src/config/settings.cpp` reads them and maps the external names to
// these. A duration of zero means "not set" or "no limit".
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace lotusyard::policy {

// A duration, or a point in time on the caller's clock.
using Millis = std::chrono::duration<double, std::milli>;

// Whether a call may run more than once.
enum class Semantics { idempotent, idempotent_with_key, non_idempotent };

// The hosts that recognise a repeated idempotency key: all hosts, or those in the zone or cell of the first
// attempt's host.
enum class KeyScope { all, zone, cell };

// How hosts report their load: never, with each answer, or when they are probed.
enum class ReportMode { none, answers, probe };

// The meaning of one number in a load report.
enum class ReportField { inflight, queue, utilisation, latency_ms, rate, errors, pinned, loading, other };

struct ClassSettings {
  std::string name;
  Semantics semantics = Semantics::non_idempotent;
  KeyScope scope = KeyScope::all;
  Millis key_window{0};         // how long hosts recognise a repeated key
  Millis latency_objective{0};  // an answer within it has its full value
  Millis deadline{0};           // the longest time-out that a client may request
  double objective_stretch = 0;
  double priority_weight = 1;
  double late_weight = 0;  // fraction of the weight of an answer after the objective
  bool stream = false;

  bool operator==(const ClassSettings& o) const {
    return std::tie(name, semantics, scope, key_window, latency_objective, deadline, objective_stretch,
                    priority_weight, late_weight, stream) ==
           std::tie(o.name, o.semantics, o.scope, o.key_window, o.latency_objective, o.deadline,
                    o.objective_stretch, o.priority_weight, o.late_weight, o.stream);
  }
};

struct TenantSettings {
  std::string name;
  double share = 0;
  double quota_per_s = 0;
};

// The limit on calls to a host that has just started. It grows from `initial` (a fraction of the usual rate)
// to the full rate within `duration`, and applies to each `window`.
struct SlowStartSettings {
  Millis duration{0};
  Millis window{0};
  double initial = 0;
  double factor = 0;  // multiple of the rate that is allowed within a window
  double quota = 0;   // this invoker's fraction of what all may send; 0: an equal share
};

// Retries, and hedged requests beside a first attempt.
struct RetrySettings {
  int max_attempts = 1;  // of one call, hedged requests included
  bool hedged_requests = false;
};

// The retry delay that a rejected client is given.
struct RejectionSettings {
  bool sends_retry_after = false;
  Millis max_retry_after{0};
};

// Orders to hosts to load instances of a function, and their quota: at most `floor` plus `ratio` times the
// requests of one `window`.
struct LoadOrderSettings {
  bool allowed = false;
  Millis timeout{0};
  Millis window{0};
  double floor = 0;
  double ratio = 0;
};

// The capabilities of hosts and what their answers report.
struct HostProtocolSettings {
  Millis connect_timeout{0};
  Millis instance_idle_timeout{0};   // an idle instance stays loaded at least this long
  bool answers_misses = false;       // a call without an instance is answered instead of starting a load
  bool reports_warm_start = false;   // answers say whether the instance was warm
  bool reports_concurrency = false;  // answers say how many calls of the function were in flight
  bool cancels = false;
  bool accepts_probes = false;
};

struct LoadReportSettings {
  ReportMode mode = ReportMode::none;
  std::vector<ReportField> fields;  // in their order in a report
};

struct EndpointListSettings {
  bool polled = false;  // lists are polled; otherwise updates are pushed
  Millis poll_interval{0};
  Millis drain_grace{0};
};

// Prices in units of a call's weight.
struct CostSettings {
  double over_quota_weight = 1;  // weight factor for calls of a tenant over its share
  bool weight_by_work = false;   // the weight is per millisecond of work, not per call
  double cross_zone = 0;
  double origin = 0;
  double probe = 0;
  double idle = 0;
};

struct Settings {
  std::string zone;
  int rank = 0;      // of this invoker among all
  int invokers = 1;  // number of invokers
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::map<std::string, double> kind_memory_mb;  // memory of a host, by kind
  Millis tick{0};
  Millis response_grace{0};
  bool peer_messages = false;
  SlowStartSettings slow_start;
  RetrySettings retries;
  RejectionSettings rejections;
  LoadOrderSettings load_orders;
  HostProtocolSettings host_protocol;
  LoadReportSettings load_reports;
  EndpointListSettings endpoint_list;
  CostSettings costs;
  std::uint64_t function_table_bytes = 0;   // bound of the memory of the records of functions; 0: none
  std::uint64_t idempotency_key_bytes = 0;  // bound of the memory of idempotency keys; 0: none
  std::uint64_t seed = 0;
};

}  // namespace lotusyard::policy
