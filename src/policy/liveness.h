// Whether hosts run: broken connections, health checks, losses and returns.
#pragma once

#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_table.h"
#include "policy/outlier_detector.h"
#include "policy/records.h"

namespace lotusyard::policy {

// A broken connection puts a host in doubt until a health check has told. Taken for a death at once, it would
// leave out a warm host for a slow-start time.
class Liveness {
 public:
  Liveness(Context& context, FunctionTable& functions, HostTable& hosts, OutlierDetector& outliers)
      : context_(context), functions_(functions), hosts_(hosts), outliers_(outliers) {}

  // Notes a broken connection: a reset, or a connect that failed.
  void record_broken_connection(Host& host, bool reset);
  // Notes how a health check ended, or a call that tells as much.
  void record_probe(Host& host, Outcome outcome);
  // Notes an answer that proves that the host runs. A lost host starts its slow start now.
  void record_alive(Host& host);
  // True if a load order for `function` was sent to the host in place of a health check.
  static bool awaits_order_probe(const Host& host, std::uint64_t function) {
    return host.probe_function == function && host.doubted_at > kNever;
  }

 private:
  bool answered_lately(const Host& host) const { return context_.now() - host.answered_at < kAliveFor; }
  void send_probe(Host& host);
  void record_unreachable(Host& host, bool died);
  void record_loss(Host& host);

  Context& context_;
  FunctionTable& functions_;
  HostTable& hosts_;
  OutlierDetector& outliers_;
};

}  // namespace lotusyard::policy
