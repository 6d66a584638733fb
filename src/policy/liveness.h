// Tracks whether hosts run: broken connections, health checks, losses and recoveries.
#pragma once

#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_table.h"
#include "policy/outlier_detector.h"
#include "policy/records.h"

namespace lotusyard::policy {

// A broken connection makes a host suspect until a health check ends. If it counted as a crash at once, a
// warm host would be limited for the duration of a slow start.
class Liveness {
 public:
  Liveness(Context& context, FunctionTable& functions, HostTable& hosts, OutlierDetector& outliers)
      : context_(context), functions_(functions), hosts_(hosts), outliers_(outliers) {}

  // Records a broken connection: a reset, or a failed connect.
  void record_broken_connection(Host& host, bool reset);
  // Records the result of a health check, or of a load order sent in place of one.
  void record_probe(Host& host, Outcome outcome);
  // Records an answer that proves that the host runs. A lost host starts its slow start now.
  void record_alive(Host& host);
  // True if a load order for `function` was sent to the host in place of a health check.
  static bool awaits_order_probe(const Host& host, std::uint64_t function) {
    return host.probe_function == function && host.suspected_at > kNever;
  }

 private:
  bool answered_recently(const Host& host) const { return context_.now() - host.answered_at < kAliveTime; }
  void send_probe(Host& host);
  void record_unreachable(Host& host, bool was_reset);
  void record_loss(Host& host);

  Context& context_;
  FunctionTable& functions_;
  HostTable& hosts_;
  OutlierDetector& outliers_;
};

}  // namespace lotusyard::policy
