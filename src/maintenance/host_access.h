// Keeps this process to what has been agreed upon about hosts, and sees what becomes of them: which ones it
// leaves alone, with its lease or without, that nothing decided under a lease goes out after it, and what it
// reports of hosts and calls.
#pragma once

#include <functional>
#include <string>

#include "app/app.h"
#include "maintenance/drain_tracker.h"
#include "maintenance/host_observer.h"

namespace lotusyard::maintenance {

// What a process may take for granted about its knowledge of the board.
struct StateFreshness {
  bool is_leased = false;     // it is current: the lease holds
  bool must_suspend = false;  // it is so old, or there was never any, that no host may be used
};

class HostAccess {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  HostAccess(const InvokerServices& wiring, LogSink note)
      : services_(wiring), log_(std::move(note)), counted_at_(wiring.loop.now()) {}

  // To be called whenever the board or the knowledge of it has changed.
  void update(const MaintenanceState& board, const StateFreshness& knowledge);
  bool leased() const { return leased_; }  // as of the last `follow`
  bool is_avoided(const std::string& host) const { return drain_tracker_.is_avoided(host); }
  bool sees_down(const std::string& host) const { return host_observer_.is_down(host, services_.loop.now()); }

  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome);
  // What this process sees of hosts now, and of its calls since it was asked before.
  HostObservations observe(const MaintenanceState& board);

 private:
  InvokerServices services_;
  LogSink log_;
  DrainTracker drain_tracker_;
  HostObserver host_observer_;
  bool leased_ = false;
  Millis counted_at_;
  double taken_ = 0, lost_ = 0;

  void log_lease_change(bool leased);
};

}  // namespace lotusyard::maintenance
