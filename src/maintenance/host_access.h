// Applies the replicated maintenance state to this process: which hosts may receive calls, with and without
// a lease, and what this process reports about hosts and calls.
#pragma once

#include <functional>
#include <string>

#include "app/app.h"
#include "maintenance/drain_tracker.h"
#include "maintenance/host_observer.h"

namespace lotusyard::maintenance {

// How far this process may rely on its copy of the replicated state.
struct StateFreshness {
  bool is_leased = false;     // the lease is held: the copy is current
  bool must_suspend = false;  // the copy is too old, or there is none: no host may be used
};

// Owned by the replica; runs on its event loop.
class HostAccess {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  HostAccess(const InvokerServices& services, LogSink log)
      : services_(services), log_(std::move(log)), counted_at_(services.loop.now()) {}

  // Must be called whenever the state or its freshness has changed. When the lease has just been lost, calls
  // that were assigned to an avoided host and not yet sent are aborted.
  void update(const MaintenanceState& state, const StateFreshness& freshness);
  bool leased() const { return leased_; }  // as of the last `update`
  bool is_avoided(const std::string& host) const { return drain_tracker_.is_avoided(host); }
  bool detects_failure(const std::string& host) const {
    return host_observer_.is_down(host, services_.loop.now());
  }

  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome);
  // The current observations of hosts, with the call rates since the previous call of this function.
  HostObservations observe(const MaintenanceState& state);

 private:
  InvokerServices services_;
  LogSink log_;
  DrainTracker drain_tracker_;
  HostObserver host_observer_;
  bool leased_ = false;
  Millis counted_at_;            // when the two counters below were read
  double counted_calls_ = 0;     // calls accepted
  double counted_failures_ = 0;  // calls rejected or failed

  void log_lease_change(bool leased);
};

}  // namespace lotusyard::maintenance
